#include "heatherfork/detail/relay/event_stream.h"
#include "heatherfork/detail/relay/http_message.h"

#include <CppUTest/TestHarness.h>

using namespace heatherfork::relay;

namespace {

constexpr std::size_t kMaxHeadBytes = 200;
constexpr std::size_t kMaxBodyBytes = 40;

/// Bytes of a request and the expected result.
struct Row
{
  std::string mName;
  std::string mBytes;
  HttpFault mFault;
  std::string mBody{};
  std::string mRemaining{};
};

const std::string kPost = "POST /a HTTP/1.1\r\nHost: h\r\n";

const Row kRequests[] = {
  { "a length", kPost + "Content-Length: 2\r\n\r\nab", HttpFault::kNone, "ab" },
  { "chunks",
    kPost + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    HttpFault::kNone,
    "abc" },
  { "a trailer is not part of the next request",
    kPost + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\nGET",
    HttpFault::kNone,
    "",
    "GET" },
  { "bytes after the body stay in the buffer",
    kPost + "Content-Length: 1\r\n\r\naGET /b",
    HttpFault::kNone,
    "a",
    "GET /b" },
  { "two lengths",
    kPost + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nab",
    HttpFault::kBadHead },
  { "the same length twice",
    kPost + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    HttpFault::kBadHead },
  { "length and chunks",
    kPost + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HttpFault::kBadHead },
  { "an unknown coding",
    kPost + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    HttpFault::kBadHead },
  { "two codings",
    kPost + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    HttpFault::kBadHead },
  { "a length with a sign",
    kPost + "Content-Length: +2\r\n\r\nab",
    HttpFault::kBadHead },
  { "a negative length",
    kPost + "Content-Length: -1\r\n\r\n",
    HttpFault::kBadHead },
  { "a list of lengths",
    kPost + "Content-Length: 2, 2\r\n\r\nab",
    HttpFault::kBadHead },
  { "a blank before the colon",
    kPost + "Content-Length : 2\r\n\r\nab",
    HttpFault::kBadHead },
  { "a folded field", kPost + "X: a\r\n b\r\n\r\n", HttpFault::kBadHead },
  { "a bare line feed", kPost + "X: a\nY: b\r\n\r\n", HttpFault::kBadHead },
  { "only bare line feeds", "GET / HTTP/1.1\n\n", HttpFault::kBadHead },
  { "a bare carriage return", kPost + "X: a\rb\r\n\r\n", HttpFault::kBadHead },
  { "a NUL in a value",
    kPost + "X: a" + std::string(1, '\0') + "b\r\n\r\n",
    HttpFault::kBadHead },
  { "no name", kPost + ": a\r\n\r\n", HttpFault::kBadHead },
  { "no colon", kPost + "abc\r\n\r\n", HttpFault::kBadHead },
  { "an empty line before the request line",
    "\r\n" + kPost + "\r\n",
    HttpFault::kBadHead },
  { "a bad chunk size",
    kPost + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
    HttpFault::kBadBody },
  { "a chunk longer than its size",
    kPost + "Transfer-Encoding: chunked\r\n\r\n1\r\nabcd\r\n0\r\n\r\n",
    HttpFault::kBadBody },
  { "a head over the limit",
    kPost + "X: " + std::string(kMaxHeadBytes, 'x') + "\r\n\r\n",
    HttpFault::kHeadTooLarge },
  { "a head without an end",
    kPost + "X: " + std::string(kMaxHeadBytes, 'x'),
    HttpFault::kHeadTooLarge },
  { "a body over the limit",
    kPost + "Content-Length: 50\r\n\r\n" + std::string(50, 'b'),
    HttpFault::kBodyTooLarge },
};

/// What is wrong with the bytes of a response, whether they come at once or one
/// by one.
HttpFault
FaultOf(const std::string& aBytes)
{
  HttpReader whole(HttpReader::Kind::kResponse, kMaxHeadBytes, kMaxBodyBytes);
  HttpReader pieces(HttpReader::Kind::kResponse, kMaxHeadBytes, kMaxBodyBytes);
  std::string buffer = aBytes;
  std::string body;
  whole.Read(buffer, body);
  buffer.clear();
  for (const char byte : aBytes) {
    buffer += byte;
    pieces.Read(buffer, body);
  }
  CHECK_TEXT(whole.Fault() == pieces.Fault(), aBytes.c_str());
  return whole.Fault();
}

} // namespace

TEST_GROUP(RelayMessages){};

TEST(RelayMessages, AcceptsOnlyStrictlyFramedRequests)
{
  for (const Row& row : kRequests) {
    HttpReader reader(HttpReader::Kind::kRequest, kMaxHeadBytes, kMaxBodyBytes);
    std::string buffer = row.mBytes;
    std::string body;
    reader.Read(buffer, body);
    CHECK_TEXT(reader.Fault() == row.mFault, row.mName.c_str());
    if (row.mFault == HttpFault::kNone) {
      CHECK_TEXT(reader.IsDone(), row.mName.c_str());
      STRCMP_EQUAL_TEXT(row.mBody.c_str(), body.c_str(), row.mName.c_str());
      STRCMP_EQUAL_TEXT(
        row.mRemaining.c_str(), buffer.c_str(), row.mName.c_str());
    }
  }
}

TEST(RelayMessages, ParsesTheSameWhenFedByteByByte)
{
  for (const Row& row : kRequests) {
    HttpReader reader(HttpReader::Kind::kRequest, kMaxHeadBytes, kMaxBodyBytes);
    std::string buffer;
    std::string body;
    for (const char byte : row.mBytes) {
      buffer += byte;
      reader.Read(buffer, body);
    }
    CHECK_TEXT(reader.Fault() == row.mFault, row.mName.c_str());
    if (row.mFault == HttpFault::kNone) {
      STRCMP_EQUAL_TEXT(row.mBody.c_str(), body.c_str(), row.mName.c_str());
    }
  }
}

TEST(RelayMessages, CompletesResponseOnlyAtItsFramedEnd)
{
  struct Answer
  {
    std::string mBytes;
    bool mDoneBefore; ///< Before the connection is closed.
    bool mDoneAfter;
  };
  const Answer kAnswers[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true, true },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false, false },
    { "HTTP/1.1 200 OK\r\n\r\nab", false, true },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
      false,
      false },
    { "HTTP/1.1 204 No Content\r\n\r\n", true, true },
    { "garbage", false, false },
  };
  for (const Answer& row : kAnswers) {
    HttpReader reader(
      HttpReader::Kind::kResponse, kMaxHeadBytes, kMaxBodyBytes);
    std::string buffer = row.mBytes;
    std::string body;
    reader.Read(buffer, body);
    CHECK_EQUAL_TEXT(row.mDoneBefore, reader.IsDone(), row.mBytes.c_str());
    reader.ReadEnd();
    CHECK_EQUAL_TEXT(row.mDoneAfter, reader.IsDone(), row.mBytes.c_str());
  }
}

TEST(RelayMessages, AcceptsOnlyStatusesOfHttp)
{
  for (int status = 0; status < 1000; ++status) {
    const std::string digits = std::to_string(1000 + status).substr(1);
    // Nothing after a switch of protocols is HTTP.
    const bool isValid = status >= 100 && status <= 599 && status != 101;
    const std::string line = "HTTP/1.1 " + digits + " X\r\n";
    const HttpFault fault = FaultOf(line + "Content-Length: 0\r\n\r\n");
    CHECK_EQUAL_TEXT(isValid, fault == HttpFault::kNone, line.c_str());
    CHECK_EQUAL_TEXT(
      isValid, FaultOf(line) == HttpFault::kNone, "before the head's end");
  }
}

TEST(RelayMessages, AcceptsOnlyTokensAsNamesOfFields)
{
  const std::string kTokens = "0123456789abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~";
  const std::string kStart = "HTTP/1.1 200 X\r\n";
  const std::string kLength = "Content-Length: 0\r\n";
  for (int n = 0; n < 256; ++n) {
    const char byte = static_cast<char>(n);
    struct Row
    {
      std::string mLine;
      bool mIsValid;
    };
    const bool isToken = kTokens.find(byte) != std::string::npos;
    const bool isColon = byte == ':'; // Ends the name early.
    const Row kRows[] = {
      { std::string(1, byte) + "X: v\r\n", isToken },
      { std::string("X") + byte + "Y: v\r\n", isToken || isColon },
      { std::string("X") + byte + ": v\r\n", isToken || isColon },
    };
    for (const Row& row : kRows) {
      std::string asFirst = kStart;
      asFirst.append(row.mLine).append(kLength);
      std::string asLast = kStart;
      asLast.append(kLength).append(row.mLine);
      for (const std::string& head : { asFirst, asLast }) {
        CHECK_EQUAL_TEXT(row.mIsValid,
                         FaultOf(head + "\r\n") == HttpFault::kNone,
                         row.mLine.c_str());
        CHECK_EQUAL_TEXT(row.mIsValid,
                         FaultOf(head) == HttpFault::kNone,
                         "before the head's end");
      }
    }
  }
}

// The other side may send nothing more, and leave the connection open.
TEST(RelayMessages, RejectsBrokenResponseAsSoonAsItsBytesShowIt)
{
  const std::string kStart = "HTTP/1.1 200 X\r\n";
  const std::string kChunks = kStart + "Transfer-Encoding: chunked\r\n\r\n";
  struct Broken
  {
    std::string mSound; ///< What may still become a response.
    char mByte;         ///< What may not follow.
    HttpFault mFault = HttpFault::kBadHead;
  };
  const Broken kRows[] = {
    { "", 'g' },
    { "", '\r' },
    { "HTTP/1.", '2' },
    { "HTTP/1.1 2", 'x' },
    { "HTTP/1.1 200", '\r' },
    { "HTTP/1.1 200 X", '\n' },
    { kStart, ' ' },
    { kStart + "X", '\r' },
    { kStart + "X: v", '\0' },
    { kStart + "X: v\r", 'Y' },
    { kStart + "X: v\r\n\r", 'Y' },
    { kChunks, 'z', HttpFault::kBadBody },
    { kChunks, ';', HttpFault::kBadBody },
    { kChunks + "1", '\n', HttpFault::kBadBody },
    { kChunks + "1;x", '\0', HttpFault::kBadBody },
    { kChunks + "1\r\na", 'a', HttpFault::kBadBody },
    { kChunks + "1\r\na\r\n", '\r', HttpFault::kBadBody },
    { kChunks + "1\r\na\r\n00\r\nX", ' ', HttpFault::kBadBody },
    { kChunks + "0\r\nX: v\r\n", ' ', HttpFault::kBadBody },
    { kChunks + "0\r\n\r", '\r', HttpFault::kBadBody },
  };
  for (const Broken& row : kRows) {
    CHECK_TEXT(FaultOf(row.mSound) == HttpFault::kNone, row.mSound.c_str());
    CHECK_TEXT(FaultOf(row.mSound + row.mByte) == row.mFault,
               row.mSound.c_str());
  }
}

TEST(RelayMessages, AcceptsResponsesInPieces)
{
  const std::string kRows[] = {
    "HTTP/1.0 599 \r\nX:\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 X\tY\xff\r\nX: \t\xff\r\nContent-Length: 4\r\n\r\nbody",
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    "01\r\nb\r\n2;x=\"y\"\r\nod\r\n1 ;z\r\ny\r\n000\r\nX: v\r\nY:\r\n\r\n",
  };
  for (const std::string& row : kRows) {
    HttpReader reader(
      HttpReader::Kind::kResponse, kMaxHeadBytes, kMaxBodyBytes);
    std::string buffer;
    std::string body;
    for (const char byte : row) {
      buffer += byte;
      reader.Read(buffer, body);
    }
    CHECK_TEXT(reader.IsDone(), row.c_str());
    STRCMP_EQUAL_TEXT("body", body.c_str(), row.c_str());
  }
}

TEST(RelayMessages, RecognizesHopByHopFields)
{
  HttpHead head;
  head.mFields = { { "Connection", "close, X-Own" } };
  CHECK(IsHopByHop(head, "x-own"));
  CHECK(IsHopByHop(head, "transfer-encoding"));
  CHECK_FALSE(IsHopByHop(head, "Content-Type"));
}

TEST(RelayMessages, ReturnsOnlyCompleteEvents)
{
  EventStream stream;
  stream.Add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda");
  const auto first = stream.TakeNext();
  const auto second = stream.TakeNext();
  CHECK(first.has_value() && second.has_value());
  STRCMP_EQUAL("1", first->mId.c_str());
  CHECK("id: 1\ndata: a\n\n" == first->mBytes);
  STRCMP_EQUAL("2", second->mId.c_str());
  CHECK_FALSE(stream.TakeNext().has_value());
  CHECK(stream.HasPartialEvent());
}
