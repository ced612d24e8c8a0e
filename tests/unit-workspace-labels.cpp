#include "heatherfork/detail/relay/workspace_labels.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;
using relay::WorkspaceLabels;

namespace {

WorkspaceLabels::Change
CountTimes(WorkspaceLabels& aLabels, const std::string& aName, int aTimes)
{
  WorkspaceLabels::Change change;
  for (int n = 0; n < aTimes; ++n) {
    change = aLabels.Count(WorkspaceName{ aName });
  }
  return change;
}

} // namespace

TEST_GROUP(WorkspaceLabels){};

TEST(WorkspaceLabels, LargestWorkspacesHaveLabels)
{
  struct Row
  {
    const char* mName;
    std::string mWorkspace;
    int mTimes;
    std::string mLabel;
    std::string mReplaced;
  };
  const Row kRows[] = {
    { "first of two", "a", 9, "a", "" },
    { "second of two", "b", 2, "b", "" },
    { "one too many", "c", 3, "other", "" },
    { "twice the smallest", "c", 1, "other", "" },
    { "more than twice the smallest", "c", 1, "c", "b" },
    { "replaced", "b", 8, "other", "" },
    { "still large", "a", 1, "a", "" },
    { "large again", "b", 1, "b", "c" },
  };
  WorkspaceLabels labels(2);
  for (const Row& row : kRows) {
    const auto change = CountTimes(labels, row.mWorkspace, row.mTimes);
    STRCMP_EQUAL_TEXT(row.mLabel.c_str(), change.mLabel.c_str(), row.mName);
    STRCMP_EQUAL_TEXT(
      row.mReplaced.c_str(), change.mReplaced.mValue.c_str(), row.mName);
  }
}
