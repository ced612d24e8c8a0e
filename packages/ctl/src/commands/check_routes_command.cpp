#include <algorithm>
#include <ostream>

#include "heatherfork/ctl/detail/commands.h"
#include "heatherfork/ctl/detail/configuration_directory.h"
#include "heatherfork/ctl/detail/printable.h"
#include "heatherfork/detail/relay/check_routing.h"
#include "heatherfork/relay_wire.h"

namespace heatherfork::ctl::detail {

namespace {

using heatherfork::detail::CheckRouting;
using heatherfork::detail::DescribeRoutingChange;
using heatherfork::detail::RoutingFinding;

constexpr std::size_t kMaxRoutingBytes = std::size_t{ 8 } << 20;

/// A routing value, or null and the exit code of the command.
struct LoadResult
{
  RoutingPtr mRouting;
  ExitCode mExitCode = ExitCode::kOk;
};

LoadResult
Load(const std::string& aPath, const Console& aConsole)
{
  const auto bytes = ReadFile(aPath, kMaxRoutingBytes);
  if (!bytes.ok()) {
    aConsole.mError << bytes.status().message() << '\n';
    return { nullptr, ExitCode::kUnreachable };
  }
  const auto mistakes = aConsole.mWire->CheckRoutingFields(*bytes);
  for (const std::string& mistake : mistakes) {
    aConsole.mError << "error: " << Printable(mistake) << '\n';
  }
  std::string reason;
  const RoutingPtr routing = aConsole.mWire->ReadRouting(*bytes, reason);
  if (routing == nullptr && mistakes.empty()) {
    aConsole.mError << "error: " << Printable(reason) << '\n';
  }
  const bool isSound = routing != nullptr && mistakes.empty();
  return { routing, isSound ? ExitCode::kOk : ExitCode::kMistakes };
}

/// Prints all findings. Returns whether one is an error.
bool
PrintFindings(const Routing& aRouting, const Console& aConsole)
{
  bool hasError = false;
  for (const RoutingFinding& finding : CheckRouting(aRouting)) {
    const bool isError = finding.mKind == RoutingFinding::Kind::kError;
    hasError = hasError || isError;
    aConsole.mError << (isError ? "error: " : "warning: ")
                    << Printable(finding.mText) << '\n';
  }
  return hasError;
}

/// Prints what differs. Returns whether the new version can replace the one in
/// force.
bool
PrintChange(const Routing& aInForce,
            const Routing& aNext,
            const Console& aConsole)
{
  const auto changes = DescribeRoutingChange(aInForce, aNext);
  for (const std::string& change : changes) {
    aConsole.mOut << "  " << Printable(change) << '\n';
  }
  if (changes.empty()) {
    aConsole.mOut << "no change\n";
  }
  if (aNext.mRevision > aInForce.mRevision) {
    return true;
  }
  aConsole.mError << "error: version " << aNext.mRevision
                  << " is not above version " << aInForce.mRevision
                  << ", which is in force\n";
  return false;
}

/// Checks a routing value before it is put into the store.
class CheckRoutesCommand : public Command
{
public:
  std::string_view Name() const override { return "check-routes"; }

  std::vector<std::string_view> Arguments() const override
  {
    return { "FILE", "[IN_FORCE]" };
  }

  std::string_view Summary() const override
  {
    return "check a store's routes in FILE; say what differs from IN_FORCE";
  }

  bool AcceptsArgumentCount(std::size_t aCount,
                            const Console& /*aConsole*/) const override
  {
    return aCount == 1 || aCount == 2;
  }

  ExitCode Run(const std::vector<std::string>& aArguments,
               const Console& aConsole) const override
  {
    LoadResult next = Load(aArguments.front(), aConsole);
    if (next.mRouting == nullptr) {
      return next.mExitCode;
    }
    bool isSound = next.mExitCode == ExitCode::kOk;
    isSound = !PrintFindings(*next.mRouting, aConsole) && isSound;
    if (aArguments.size() == 2) {
      std::string reason;
      const auto bytes = ReadFile(aArguments.back(), kMaxRoutingBytes);
      const RoutingPtr inForce =
        bytes.ok() ? aConsole.mWire->ReadRouting(*bytes, reason) : nullptr;
      if (inForce == nullptr) {
        aConsole.mError << aArguments.back() << " can't be read\n";
        return ExitCode::kUnreachable;
      }
      isSound = PrintChange(*inForce, *next.mRouting, aConsole) && isSound;
    }
    aConsole.mOut << (isSound ? "sound: version " : "refuse: version ")
                  << next.mRouting->mRevision << '\n';
    return isSound ? ExitCode::kOk : ExitCode::kMistakes;
  }
};

} // namespace

CommandPtr
MakeCheckRoutesCommand()
{
  return std::make_unique<CheckRoutesCommand>();
}

} // namespace heatherfork::ctl::detail
