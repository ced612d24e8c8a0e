#pragma once

/// Parts of the grammar of HTTP/1.1 messages.
namespace heatherfork::relay {

/// Whether a response with this status answers a request, or precedes the one
/// that does. No request asks to switch protocols, and nothing that follows
/// such a response is HTTP.
inline bool
IsResponseStatus(int aStatus)
{
  constexpr int kFirstStatus = 100;
  constexpr int kLastStatus = 599;
  constexpr int kSwitchingProtocols = 101;
  return aStatus >= kFirstStatus && aStatus <= kLastStatus &&
         aStatus != kSwitchingProtocols;
}

} // namespace heatherfork::relay
