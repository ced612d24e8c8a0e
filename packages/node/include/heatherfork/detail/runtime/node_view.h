#pragma once

#include <memory>
#include <mutex>

#include "heatherfork/configuration.h"
#include "heatherfork/member.h"

/// Snapshots of the reducer's state for other threads.
namespace heatherfork::detail {

/// Whether a node accepts work from callers.
enum class Condition : std::uint8_t
{
  kStarting, ///< No configuration yet.
  kServing,
  kLeaving,
};

/// An immutable snapshot.
struct NodeView
{
  Condition mCondition = Condition::kStarting;
  ConfigurationPtr mConfiguration; ///< Null while starting.
  Members mMembers;

  auto operator<=>(const NodeView&) const = default;
};

using NodeViewPtr = std::shared_ptr<const NodeView>;

/// Publishes the latest snapshot from the event loop to other threads.
class NodeViewHolder
{
public:
  NodeViewHolder()
    : mView(std::make_shared<const NodeView>())
  {
  }

  NodeViewPtr Get() const
  {
    const std::lock_guard lock(mMutex);
    return mView;
  }

  void Set(NodeView aView)
  {
    auto view = std::make_shared<const NodeView>(std::move(aView));
    const std::lock_guard lock(mMutex);
    mView = std::move(view);
  }

private:
  mutable std::mutex mMutex;
  NodeViewPtr mView;
};

/// "starting", "serving" or "leaving".
const char*
ToString(Condition aCondition);

} // namespace heatherfork::detail
