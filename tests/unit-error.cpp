#include <set>
#include <string>

#include "heatherfork/error.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

TEST_GROUP(Error){};

TEST(Error, HasUniqueIdentifiersAndOneRowPerCode)
{
  std::set<std::string_view> identifiers;
  for (const ErrorInfo& info : AllErrors()) {
    CHECK(identifiers.insert(info.mIdentifier).second);
    CHECK(&InfoOf(info.mCode) == &info);
  }
}

TEST(Error, HasErrorHttpStatusAndOutcomeText)
{
  for (const ErrorInfo& info : AllErrors()) {
    const bool isClientError =
      info.mHttpStatus >= 400 && info.mHttpStatus < 500;
    const bool isServerError =
      info.mHttpStatus >= 500 && info.mHttpStatus < 600;
    CHECK(isClientError || isServerError);
    CHECK(!ToString(info.mOutcome).empty());
  }
}
