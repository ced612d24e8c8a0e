#include "heatherfork/peer_frame.h"

#include <algorithm>
#include <utility>

#include <absl/status/status.h>

#include "aligned_buffer.h"
#include "fields.h"
#include "relay_fields.h"

namespace heatherfork {

namespace {

using wire_map::FromWire;
using wire_map::ToWire;

/// The FlatBuffers object type of a core type. The generated object API appends
/// T to the name of the table.
template<class Core>
struct WireType;

#define HEATHERFORK_WIRE(aName)                                                \
  template<>                                                                   \
  struct WireType<aName>                                                       \
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
HEATHERFORK_WIRE(ContentReport)
HEATHERFORK_WIRE(LimitReport)
HEATHERFORK_WIRE(LeavingReport)
HEATHERFORK_WIRE(KeyProofRequest)
HEATHERFORK_WIRE(KeyProofReply)
HEATHERFORK_WIRE(QuotaRequest)
HEATHERFORK_WIRE(QuotaGrant)
#undef HEATHERFORK_WIRE

// Limits on the verifier's work, so that a small frame with many references
// can't take much time.
constexpr int kMaxVerifierDepth = 8;
constexpr int kMaxVerifierTables = 200000;

bool
IsAligned(const flatbuffers::Vector<std::uint64_t>* aVector)
{
  return aVector == nullptr ||
         reinterpret_cast<std::uintptr_t>(aVector->Data()) %
             alignof(std::uint64_t) ==
           0;
}

// The verifier checks the alignment of a vector's length, not of its elements.
template<class Table>
bool
HasAlignedVectors(const Table& /*aTable*/)
{
  return true;
}

bool
HasAlignedVectors(const wire::PlaceRequest& aTable)
{
  return IsAligned(aTable.prefixes());
}

bool
HasAlignedVectors(const wire::PlacementsKept& aTable)
{
  if (aTable.kept() == nullptr) {
    return true;
  }
  return std::all_of(
    aTable.kept()->begin(), aTable.kept()->end(), [](const auto* aKept) {
      return aKept->place() == nullptr || HasAlignedVectors(*aKept->place());
    });
}

bool
HasAlignedVectors(const wire::SyncRequest& aTable)
{
  return IsAligned(aTable.buckets());
}

bool
HasAlignedVectors(const wire::CrashedRequest& aTable)
{
  return IsAligned(aTable.parts());
}

bool
HasAlignedVectors(const wire::CrashRecord& aTable)
{
  const auto* requests = aTable.requests();
  return IsAligned(aTable.sound()) &&
         (requests == nullptr ||
          std::all_of(
            requests->begin(), requests->end(), [](const auto* aRequest) {
              return HasAlignedVectors(*aRequest);
            }));
}

bool
HasAlignedVectors(const wire::ContentReport& aTable)
{
  const auto* crashes = aTable.crashes();
  return IsAligned(aTable.sound()) &&
         (crashes == nullptr ||
          std::all_of(crashes->begin(), crashes->end(), [](const auto* aCrash) {
            return HasAlignedVectors(*aCrash);
          }));
}

template<class Core>
bool
DecodeBodyAs(const wire::Frame& aFrame, PeerMessage& aMessage)
{
  using Wire = typename WireType<Core>::Type;
  using Table = typename Wire::TableType;
  const Table* table = aFrame.message_as<Table>();
  if (!table) {
    return true;
  }
  if (!HasAlignedVectors(*table)) {
    return false;
  }
  Wire unpacked;
  table->UnPackTo(&unpacked);
  FromWire converter;
  Core core;
  MapFields(converter, core, unpacked);
  aMessage = std::move(core);
  return converter.IsValid();
}

template<std::size_t... kIndices>
bool
DecodeBody(const wire::Frame& aFrame,
           PeerMessage& aMessage,
           std::index_sequence<kIndices...> /*aIndices*/)
{
  return (DecodeBodyAs<std::variant_alternative_t<kIndices, PeerMessage>>(
            aFrame, aMessage) &&
          ...);
}

absl::StatusOr<PeerFrame>
DecodeContent(const wire::Frame& aFrame)
{
  constexpr auto kMessageTypeCount = std::variant_size_v<PeerMessage>;
  const auto type = static_cast<std::size_t>(aFrame.message_type());
  if (type == 0 || !aFrame.message()) {
    return absl::InvalidArgumentError("frame without a message");
  }
  if (type > static_cast<std::size_t>(wire::Message::MAX)) {
    return absl::UnimplementedError("unknown message");
  }
  PeerFrame frame;
  FromWire converter;
  if (aFrame.from()) {
    const std::unique_ptr<wire::NodeIdT> from(aFrame.from()->UnPack());
    converter(frame.mFrom, from);
  }
  if (frame.mFrom.mName.Empty() || frame.mFrom.mIncarnation == 0) {
    return absl::InvalidArgumentError("frame without a sender");
  }
  if (!DecodeBody(aFrame,
                  frame.mMessage,
                  std::make_index_sequence<kMessageTypeCount>())) {
    return absl::InvalidArgumentError("value out of range");
  }
  return frame;
}

} // namespace

std::string
EncodeFrame(const NodeId& aFrom, const PeerMessage& aMessage)
{
  wire::FrameT frame;
  ToWire converter;
  converter(aFrom, frame.from);
  std::visit(
    [&](const auto& aBody) {
      using Core = std::decay_t<decltype(aBody)>;
      typename WireType<Core>::Type body;
      MapFields(converter, aBody, body);
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
  if (aFrame.size() > kMaxPeerFrameBytes) {
    return absl::InvalidArgumentError("frame too long");
  }
  const wire_map::AlignedBuffer buffer(aFrame);
  const std::uint8_t* data = buffer.Data();
  flatbuffers::Verifier verifier(
    data, aFrame.size(), kMaxVerifierDepth, kMaxVerifierTables);
  if (!wire::VerifyFrameBuffer(verifier)) {
    return absl::InvalidArgumentError("malformed frame");
  }
  return DecodeContent(*wire::GetFrame(data));
}

} // namespace heatherfork
