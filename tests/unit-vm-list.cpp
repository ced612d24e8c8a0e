#include "heatherfork/detail/platform/platform_client.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

const std::string kVm =
  R"({"name":"v1","zone":"z","role":"backend","state":"leaving"})";

std::string
Names(const std::string& aBody)
{
  const auto list = detail::ReadVmList(aBody);
  if (!list.ok()) {
    return "none";
  }
  std::string names;
  for (const VmRecord& vm : list->mVms) {
    names += vm.mName + (vm.mLeaving ? "- " : " ");
  }
  return names;
}

// The logger's first line allocates what no test frees.
const std::string kFirstLine = Names(R"({"vms":[7]})");

} // namespace

TEST_GROUP(VmList){};

TEST(VmList, SkipsInvalidRecords)
{
  struct Row
  {
    std::string mRecords;
    std::string mNames; ///< Leaving VMs end with a dash.
  };
  const Row kRows[] = {
    { kVm, "v1- " },
    { R"({"name":"v2","zone":"z","role":"entry","state":"x",)"
      R"("peer_address":"10.0.0.1:1"},)" +
        kVm,
      "v2 v1- " },
    { kVm + ",7", "v1- " },
    { "null," + kVm, "v1- " },
    { "[]," + kVm, "v1- " },
    { R"("v2",)" + kVm, "v1- " },
    { "{}," + kVm, "v1- " },
    { R"({"name":7,"zone":"z","role":"entry","state":"x"},)" + kVm, "v1- " },
    { R"({"name":"v2","zone":[],"role":"entry","state":"x"},)" + kVm, "v1- " },
    { R"({"name":"v2","zone":"z","state":"x"},)" + kVm, "v1- " },
    { "7,null", "" },
  };
  for (const Row& row : kRows) {
    const std::string names = Names(R"({"vms":[)" + row.mRecords + "]}");
    STRCMP_EQUAL_TEXT(row.mNames.c_str(), names.c_str(), row.mRecords.c_str());
  }
}

TEST(VmList, RejectsDocumentsWithoutAList)
{
  for (const char* body : { "", "[]", "{}", R"({"vms":7})", "{\"vms\":[" }) {
    STRCMP_EQUAL_TEXT("none", Names(body).c_str(), body);
  }
}
