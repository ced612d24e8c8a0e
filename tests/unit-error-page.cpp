#include <fstream>
#include <string>
#include <vector>

#include "heatherfork/configuration_mistake.h"
#include "heatherfork/error.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork;

namespace {

/// Reads docs/errors.md. ctest runs this program in the source folder.
std::vector<std::string>
ReadPage()
{
  std::ifstream file("docs/errors.md");
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::vector<std::string>
LinesThatStartWith(const std::string& aStart)
{
  std::vector<std::string> found;
  for (const std::string& line : ReadPage()) {
    if (line.starts_with(aStart)) {
      found.push_back(line);
    }
  }
  return found;
}

std::string
HeadingOf(int aNumber, std::string_view aIdentifier)
{
  return "### " + std::to_string(aNumber) + " " + std::string(aIdentifier);
}

/// The non-empty lines between a heading and the next one.
std::vector<std::string>
SectionOf(const std::string& aHeading)
{
  std::vector<std::string> section;
  bool isInside = false;
  for (const std::string& line : ReadPage()) {
    if (line.starts_with("#")) {
      isInside = line == aHeading;
    } else if (isInside && !line.empty()) {
      section.push_back(line);
    }
  }
  return section;
}

void
CheckExample(const std::vector<std::string>& aSection, std::size_t aIndex)
{
  CHECK(aSection.size() > aIndex + 1);
  CHECK_TEXT(aSection[aIndex].starts_with("    "), aSection[aIndex].c_str());
}

} // namespace

TEST_GROUP(ErrorPage){};

TEST(ErrorPage, ListsAllErrorsAndMistakesInTableOrder)
{
  std::vector<std::string> expected;
  for (const ErrorInfo& info : AllErrors()) {
    expected.push_back(
      HeadingOf(static_cast<int>(info.mCode), info.mIdentifier));
  }
  for (const MistakeInfo& info : AllMistakes()) {
    expected.push_back(
      HeadingOf(static_cast<int>(info.mCode), info.mIdentifier));
  }
  const auto found = LinesThatStartWith("### ");
  LONGS_EQUAL(expected.size(), found.size());
  for (std::size_t n = 0; n < expected.size(); ++n) {
    STRCMP_EQUAL(expected[n].c_str(), found[n].c_str());
  }
}

TEST(ErrorPage, StatesStatusOutcomeAndExampleOfEachError)
{
  for (const ErrorInfo& info : AllErrors()) {
    const auto section =
      SectionOf(HeadingOf(static_cast<int>(info.mCode), info.mIdentifier));
    const std::string expected = "Status " + std::to_string(info.mHttpStatus) +
                                 ", outcome `" +
                                 std::string(ToString(info.mOutcome)) + "`.";
    CHECK_TEXT(!section.empty(), expected.c_str());
    STRCMP_EQUAL(expected.c_str(), section.front().c_str());
    CheckExample(section, 1);
  }
}

TEST(ErrorPage, GivesExampleOfEachMistake)
{
  for (const MistakeInfo& info : AllMistakes()) {
    const auto section =
      SectionOf(HeadingOf(static_cast<int>(info.mCode), info.mIdentifier));
    CheckExample(section, 0);
    STRCMP_CONTAINS(": expected ", section.front().c_str());
    STRCMP_CONTAINS(", found ", section.front().c_str());
  }
}

TEST(ErrorPage, HasOneHeadingPerFamily)
{
  for (int family = 1; family <= 6; ++family) {
    const std::string start = "## Family " + std::to_string(family) + "xx: ";
    LONGS_EQUAL(1, LinesThatStartWith(start).size());
  }
}
