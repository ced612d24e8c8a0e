#include "socket_address.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <absl/status/status.h>

namespace heatherfork::detail {

absl::StatusOr<Poco::Net::SocketAddress>
ParseAddress(const Address& aAddress)
{
  const std::string& text = aAddress.mValue;
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return absl::InvalidArgumentError("an address needs host:port");
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Poco::Net::IPAddress number;
  if (!Poco::Net::IPAddress::tryParse(host, number)) {
    return absl::InvalidArgumentError("the host must be an IP number");
  }
  try {
    return Poco::Net::SocketAddress(number.toString(), text.substr(colon + 1));
  } catch (const Poco::Exception& e) {
    return absl::InvalidArgumentError(e.displayText());
  }
}

} // namespace heatherfork::detail
