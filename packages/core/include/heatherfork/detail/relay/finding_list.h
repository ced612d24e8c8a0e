#pragma once

#include <string>
#include <utility>

#include "heatherfork/detail/relay/check_routing.h"

/// Collects the faults of one part after the other.
namespace heatherfork::detail {

/// Prefixes each finding with the part, such as route "r-1".
class FindingList
{
public:
  void SetPart(const char* aKind, const std::string& aName)
  {
    mPart = std::string(aKind) + " \"" + aName + "\": ";
  }
  void SetPart(const char* aKind) { mPart = std::string(aKind) + ": "; }

  void Error(const std::string& aText)
  {
    mFindings.push_back({ RoutingFinding::Kind::kError, mPart + aText });
  }
  void Warn(const std::string& aText)
  {
    mFindings.push_back({ RoutingFinding::Kind::kWarning, mPart + aText });
  }

  RoutingFindings Take() { return std::move(mFindings); }

private:
  std::string mPart;
  RoutingFindings mFindings;
};

/// Checks routes and services, and which routes can't match.
void
CheckRoutes(const Routing& aRouting, FindingList& aFindings);

/// Checks workspaces: keys, ranks and quotas.
void
CheckWorkspaces(const Routing& aRouting, FindingList& aFindings);

} // namespace heatherfork::detail
