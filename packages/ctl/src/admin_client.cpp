#include "heatherfork/ctl/detail/admin_client.h"

#include <utility>

#include "heatherfork/detail/http/strict_session.h"
#include "heatherfork/detail/json/read.h"
#include "heatherfork/detail/text.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

namespace heatherfork::ctl::detail {

namespace {

namespace json = heatherfork::detail::json;
using heatherfork::detail::Concat;

constexpr std::size_t kMaxResponseBytes = 8UL * 1024UL * 1024UL;
constexpr int kMaxJsonDepth = 16;

/// An HTTP response. The body is truncated to one byte above the limit, so that
/// parsing rejects a body that is too long.
struct HttpResponse
{
  int mStatus = 0;
  std::string mBody;
};

std::string
ReadBody(std::istream& aStream)
{
  std::string body(kMaxResponseBytes + 1, '\0');
  aStream.read(body.data(), static_cast<std::streamsize>(body.size()));
  body.resize(static_cast<std::size_t>(aStream.gcount()));
  return body;
}

/// Throws Poco::Exception.
HttpResponse
SendGetRequest(const std::string& aAddress,
               const std::string& aKey,
               Duration aTimeout,
               const std::string& aPath)
{
  using heatherfork::detail::ConnectTo;
  const auto session = heatherfork::detail::MakeStrictSession(
    ConnectTo(Address{ aAddress }, aTimeout), aTimeout);
  Poco::Net::HTTPRequest request("GET", aPath, "HTTP/1.1");
  request.setHost(aAddress);
  if (!aKey.empty()) {
    request.setCredentials("Bearer", aKey);
  }
  session->sendRequest(request);
  Poco::Net::HTTPResponse response;
  std::string body = ReadBody(session->receiveResponse(response));
  if (body.size() <= kMaxResponseBytes &&
      !heatherfork::detail::HasWholeResponse(*session)) {
    throw Poco::Net::MessageException("incomplete HTTP response");
  }
  return HttpResponse{ static_cast<int>(response.getStatus()),
                       std::move(body) };
}

/// Returns a member of an object, or null if there is none.
const json::Value*
FindMember(const json::Value& aValue, std::string_view aKey)
{
  const auto* object = std::get_if<json::Object>(&aValue.mData);
  if (object == nullptr) {
    return nullptr;
  }
  for (const json::Member& member : *object) {
    if (member.mKey == aKey) {
      return &member.mValue;
    }
  }
  return nullptr;
}

/// Returns ": " and the message of an error response, or an empty text if the
/// body has no message.
std::string
ErrorMessageSuffix(const json::Value& aBody)
{
  const json::Value* error = FindMember(aBody, "error");
  const json::Value* message =
    error == nullptr ? nullptr : FindMember(*error, "message");
  const auto* text =
    message == nullptr ? nullptr : std::get_if<std::string>(&message->mData);
  return text == nullptr ? "" : ": " + *text;
}

} // namespace

AdminClient::AdminClient(std::string aAddress,
                         std::string aKey,
                         Duration aTimeout)
  : mAddress(std::move(aAddress))
  , mKey(std::move(aKey))
  , mTimeout(aTimeout)
{
}

absl::StatusOr<json::Value>
AdminClient::Get(const std::string& aPath) const
{
  HttpResponse httpResponse;
  try {
    httpResponse = SendGetRequest(mAddress, mKey, mTimeout, aPath);
  } catch (const Poco::Exception& e) {
    return absl::UnavailableError(
      Concat(mAddress, ": expected an answer, found ", e.displayText()));
  }
  constexpr int kHttpOk = 200;
  auto body = json::Read(httpResponse.mBody,
                         json::ReadLimits{ kMaxResponseBytes, kMaxJsonDepth });
  auto* value = std::get_if<json::Value>(&body);
  if (httpResponse.mStatus != kHttpOk) {
    return absl::InvalidArgumentError(
      Concat(mAddress,
             aPath,
             ": expected status 200, found ",
             httpResponse.mStatus,
             value == nullptr ? "" : ErrorMessageSuffix(*value)));
  }
  if (value == nullptr) {
    return absl::InvalidArgumentError(
      Concat(mAddress, aPath, ": expected JSON, found something else"));
  }
  return std::move(*value);
}

std::string
EscapeSegment(const std::string& aText)
{
  std::string escaped;
  Poco::URI::encode(aText, "!#$&'()*+,/:;=?@[]%", escaped);
  return escaped;
}

} // namespace heatherfork::ctl::detail
