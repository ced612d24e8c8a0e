#include "heatherfork/peer_frame.h"

#include <utility>

#include <absl/status/status.h>

#include "aligned_buffer.h"
#include "fields.h"

namespace heatherfork {

namespace {

using wire_map::FromWire;
using wire_map::ToWire;

/// A table's name ends in T in the generated object API.
template<class Core>
struct WireOf;

#define HEATHERFORK_WIRE(aName)                                                \
  template<>                                                                   \
  struct WireOf<aName>                                                         \
  {                                                                            \
    using Type = wire::aName##T;                                               \
  };
HEATHERFORK_WIRE(ForwardRequest)
HEATHERFORK_WIRE(ForwardAnswer)
HEATHERFORK_WIRE(PlaceRequest)
HEATHERFORK_WIRE(Placed)
HEATHERFORK_WIRE(PlacementRefused)
HEATHERFORK_WIRE(PlacementProgress)
HEATHERFORK_WIRE(PlacementEnded)
HEATHERFORK_WIRE(Probe)
HEATHERFORK_WIRE(ProbeAck)
HEATHERFORK_WIRE(ProbeRelay)
HEATHERFORK_WIRE(ProbeRelayed)
HEATHERFORK_WIRE(SyncRequest)
HEATHERFORK_WIRE(SyncReply)
HEATHERFORK_WIRE(HeadRequest)
HEATHERFORK_WIRE(HeadReply)
HEATHERFORK_WIRE(PartRequest)
HEATHERFORK_WIRE(PartReply)
HEATHERFORK_WIRE(PlacementQueued)
HEATHERFORK_WIRE(CrashReport)
HEATHERFORK_WIRE(PublishedRequest)
HEATHERFORK_WIRE(PublishedReply)
HEATHERFORK_WIRE(PlacementsKept)
HEATHERFORK_WIRE(PublishedNews)
#undef HEATHERFORK_WIRE

// Bounds on what a verifier walks through, so that a small frame can't cost
// much time.
constexpr int kMaxDepth = 8;
constexpr int kMaxTables = 200000;

template<class Core>
bool
ReadAs(const wire::Frame& aFrame, PeerMessage& aMessage)
{
  using Wire = typename WireOf<Core>::Type;
  using Table = typename Wire::TableType;
  const Table* table = aFrame.message_as<Table>();
  if (!table) {
    return true;
  }
  Wire unpacked;
  table->UnPackTo(&unpacked);
  FromWire direction;
  Core core;
  MapFields(direction, core, unpacked);
  aMessage = std::move(core);
  return direction.Ok();
}

template<std::size_t... kIndices>
bool
ReadMessage(const wire::Frame& aFrame,
            PeerMessage& aMessage,
            std::index_sequence<kIndices...> /*aIndices*/)
{
  return (ReadAs<std::variant_alternative_t<kIndices, PeerMessage>>(aFrame,
                                                                    aMessage) &&
          ...);
}

absl::StatusOr<PeerFrame>
ReadFrame(const wire::Frame& aFrame)
{
  constexpr auto kCount = std::variant_size_v<PeerMessage>;
  const auto type = static_cast<std::size_t>(aFrame.message_type());
  if (type == 0 || !aFrame.message()) {
    return absl::InvalidArgumentError("frame without a message");
  }
  if (type > static_cast<std::size_t>(wire::Message::MAX)) {
    return absl::UnimplementedError("unknown message");
  }
  PeerFrame frame;
  FromWire direction;
  if (aFrame.from()) {
    const std::unique_ptr<wire::NodeIdT> from(aFrame.from()->UnPack());
    direction(frame.mFrom, from);
  }
  if (frame.mFrom.mName.Empty() || frame.mFrom.mIncarnation == 0) {
    return absl::InvalidArgumentError("frame without a sender");
  }
  if (!ReadMessage(
        aFrame, frame.mMessage, std::make_index_sequence<kCount>())) {
    return absl::InvalidArgumentError("value out of range");
  }
  return frame;
}

} // namespace

std::string
EncodeFrame(const NodeId& aFrom, const PeerMessage& aMessage)
{
  wire::FrameT frame;
  ToWire direction;
  direction(aFrom, frame.from);
  std::visit(
    [&](const auto& aBody) {
      using Core = std::decay_t<decltype(aBody)>;
      typename WireOf<Core>::Type body;
      MapFields(direction, aBody, body);
      frame.message.Set(std::move(body));
    },
    aMessage);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::Frame::Pack(builder, &frame));
  return { reinterpret_cast<const char*>(builder.GetBufferPointer()),
           builder.GetSize() };
}

absl::StatusOr<PeerFrame>
DecodeFrame(std::string_view aFrame)
{
  if (aFrame.size() > kMaxPeerFrame) {
    return absl::InvalidArgumentError("frame too long");
  }
  const wire_map::AlignedBuffer buffer(aFrame);
  const std::uint8_t* data = buffer.Data();
  flatbuffers::Verifier verifier(data, aFrame.size(), kMaxDepth, kMaxTables);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return absl::InvalidArgumentError("malformed frame");
  }
  return ReadFrame(*wire::GetFrame(data));
}

} // namespace heatherfork
