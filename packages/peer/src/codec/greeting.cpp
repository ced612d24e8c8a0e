#include "heatherfork/detail/peer/greeting.h"

#include <absl/status/status.h>

#include "aligned_buffer.h"
#include "fields.h"
#include "relay_fields.h"

namespace heatherfork::detail {

std::string
EncodeGreeting(const Greeting& aGreeting)
{
  wire_map::ToWire converter;
  wire::GreetingT table;
  converter(aGreeting.mNode, table.node);
  converter(aGreeting.mAddress, table.address);
  converter(aGreeting.mLinkNumber, table.link);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Greeting::Pack(builder, &table));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

absl::StatusOr<Greeting>
DecodeGreeting(std::string_view aBytes)
{
  const wire_map::AlignedBuffer buffer(aBytes);
  flatbuffers::Verifier verifier(buffer.Data(), aBytes.size());
  if (!verifier.VerifyBuffer<wire::Greeting>(nullptr)) {
    return absl::InvalidArgumentError("malformed greeting");
  }
  wire::GreetingT table;
  flatbuffers::GetRoot<wire::Greeting>(buffer.Data())->UnPackTo(&table);
  wire_map::FromWire converter;
  Greeting greeting;
  converter(greeting.mNode, table.node);
  converter(greeting.mAddress, table.address);
  converter(greeting.mLinkNumber, table.link);
  if (greeting.mNode.mName.Empty() || greeting.mNode.mIncarnation == 0) {
    return absl::InvalidArgumentError("greeting without a node");
  }
  return greeting;
}

} // namespace heatherfork::detail
