#include "heatherfork/ctl/detail/table.h"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace heatherfork::ctl::detail {

namespace {

namespace json = heatherfork::detail::json;

constexpr std::string_view kColumnGap = "  ";

std::string
ReplaceControlCharacters(std::string aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](unsigned char aByte) {
      return aByte < kFirstPrintable || aByte == kDelete;
    },
    '?');
  return aText;
}

/// Formats a value as the text of one cell. Arrays become comma-separated
/// lists, and objects become KEY=VALUE pairs.
struct CellText
{
  std::string operator()(std::monostate) const { return "-"; }
  std::string operator()(bool aFlag) const { return aFlag ? "yes" : "no"; }
  std::string operator()(std::int64_t aNumber) const
  {
    return std::to_string(aNumber);
  }
  std::string operator()(double aNumber) const
  {
    std::ostringstream text;
    text << aNumber;
    return text.str();
  }
  std::string operator()(const std::string& aText) const
  {
    return ReplaceControlCharacters(aText);
  }
  std::string operator()(const json::Array& aItems) const
  {
    std::string text;
    for (const json::Value& item : aItems) {
      text += text.empty() ? "" : ", ";
      text += std::visit(*this, item.mData);
    }
    return text.empty() ? "-" : text;
  }
  std::string operator()(const json::Object& aObject) const
  {
    std::string text;
    for (const json::Member& member : aObject) {
      text += text.empty() ? "" : " ";
      text += ReplaceControlCharacters(member.mKey) + "=" +
              std::visit(*this, member.mValue.mData);
    }
    return text.empty() ? "-" : text;
  }
};

std::string
FormatCell(const json::Value& aValue)
{
  return std::visit(CellText{}, aValue.mData);
}

bool
IsSection(const json::Value& aValue)
{
  return std::holds_alternative<json::Object>(aValue.mData) ||
         std::holds_alternative<json::Array>(aValue.mData);
}

/// Returns the distinct keys of all objects in order of first occurrence.
Row
CollectColumns(const json::Array& aItems)
{
  Row columns;
  for (const json::Value& item : aItems) {
    const auto* object = std::get_if<json::Object>(&item.mData);
    if (object == nullptr) {
      continue;
    }
    for (const json::Member& member : *object) {
      if (std::find(columns.begin(), columns.end(), member.mKey) ==
          columns.end()) {
        columns.push_back(member.mKey);
      }
    }
  }
  return columns;
}

std::string
FindCell(const json::Object& aObject, const std::string& aColumn)
{
  for (const json::Member& member : aObject) {
    if (member.mKey == aColumn) {
      return FormatCell(member.mValue);
    }
  }
  return "-";
}

void
PrintArray(const json::Array& aItems, std::ostream& aOut)
{
  const Row columns = CollectColumns(aItems);
  std::vector<Row> rows;
  if (!columns.empty()) {
    Row& header = rows.emplace_back(columns);
    std::transform(
      header.begin(), header.end(), header.begin(), ReplaceControlCharacters);
  }
  for (const json::Value& item : aItems) {
    Row& row = rows.emplace_back();
    const auto* object = std::get_if<json::Object>(&item.mData);
    if (object == nullptr) {
      row.push_back(FormatCell(item));
      continue;
    }
    for (const std::string& column : columns) {
      row.push_back(FindCell(*object, column));
    }
  }
  PrintTable(rows, aOut);
}

void
PrintObject(const json::Object& aObject, std::ostream& aOut)
{
  std::vector<Row> rows;
  for (const json::Member& member : aObject) {
    if (!IsSection(member.mValue)) {
      rows.push_back(
        { ReplaceControlCharacters(member.mKey), FormatCell(member.mValue) });
    }
  }
  PrintTable(rows, aOut);
  for (const json::Member& member : aObject) {
    if (IsSection(member.mValue)) {
      aOut << '\n' << ReplaceControlCharacters(member.mKey) << ":\n";
      PrintJson(member.mValue, aOut);
    }
  }
}

} // namespace

void
PrintTable(const std::vector<Row>& aRows, std::ostream& aOut)
{
  std::vector<std::size_t> widths;
  for (const Row& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  for (const Row& row : aRows) {
    for (std::size_t n = 0; n + 1 < row.size(); ++n) {
      aOut << row[n] << std::string(widths[n] - row[n].size(), ' ')
           << kColumnGap;
    }
    aOut << (row.empty() ? "" : row.back()) << '\n';
  }
}

void
PrintJson(const json::Value& aValue, std::ostream& aOut)
{
  if (const auto* object = std::get_if<json::Object>(&aValue.mData)) {
    PrintObject(*object, aOut);
    return;
  }
  if (const auto* array = std::get_if<json::Array>(&aValue.mData)) {
    PrintArray(*array, aOut);
    return;
  }
  aOut << FormatCell(aValue) << '\n';
}

} // namespace heatherfork::ctl::detail
