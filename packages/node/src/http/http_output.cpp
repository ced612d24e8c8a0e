#include "heatherfork/detail/http/http_output.h"

#include <ostream>

#include "heatherfork/detail/json/json_reader.h"

namespace heatherfork::detail {

std::string
ErrorBody(const Error& aError)
{
  const ErrorInfo& info = InfoOf(aError.mCode);
  Poco::JSON::Object::Ptr error = new Poco::JSON::Object;
  error->set("code", static_cast<int>(info.mCode));
  error->set("id", std::string(info.mIdentifier));
  error->set("outcome", std::string(ToString(info.mOutcome)));
  error->set("message", aError.mMessage);
  Poco::JSON::Object object;
  object.set("error", error);
  return ToText(object);
}

void
SendBody(Poco::Net::HTTPServerResponse& aResponse,
         int aStatus,
         const std::string& aContentType,
         const std::string& aBody)
{
  using Status = Poco::Net::HTTPResponse::HTTPStatus;
  aResponse.setStatusAndReason(static_cast<Status>(aStatus));
  aResponse.setContentType(aContentType);
  // sendBuffer() omits the body when the request could not be parsed.
  aResponse.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  aResponse.send() << aBody << std::flush;
}

void
SendError(Poco::Net::HTTPServerResponse& aResponse, const Error& aError)
{
  SendBody(aResponse,
           InfoOf(aError.mCode).mHttpStatus,
           "application/json",
           ErrorBody(aError));
}

} // namespace heatherfork::detail
