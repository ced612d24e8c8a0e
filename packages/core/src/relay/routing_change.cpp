#include <algorithm>
#include <map>

#include "heatherfork/detail/relay/check_routing.h"

namespace heatherfork::detail {

namespace {

/// A field's name and its value as text.
using Field = std::pair<std::string, std::string>;
using Fields = std::vector<Field>;
using Texts = std::vector<std::string>;

std::string
TextOf(bool aIsTrue)
{
  return aIsTrue ? "yes" : "no";
}

std::string
TextOf(Duration aDuration)
{
  return std::to_string(ToMilliseconds(aDuration)) + " ms";
}

std::string
TextOf(double aNumber)
{
  std::string text = std::to_string(aNumber);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

std::string
TextOf(const std::vector<RouteShare>& aShares)
{
  std::string text;
  for (const RouteShare& share : aShares) {
    text += (text.empty() ? "" : " ") + share.mService.mValue + "*" +
            std::to_string(share.mWeight);
  }
  return text;
}

Fields
FieldsOf(const Route& aRoute)
{
  return {
    { "host", aRoute.mHost },
    { "prefix", aRoute.mPrefix },
    { "services", TextOf(aRoute.mShares) },
    { "stream", TextOf(aRoute.mIsStream) },
    { "resumable", TextOf(aRoute.mIsResumable) },
    { "may repeat", TextOf(aRoute.mRepeat == RepeatRule::kMayRepeat) },
    { "timeout", TextOf(aRoute.mTimeout) },
    { "target", TextOf(aRoute.mTarget) },
    { "target between events", TextOf(aRoute.mGapTarget) },
    { "attempts", std::to_string(aRoute.mMaxAttempts) },
    { "priority", std::to_string(aRoute.mRank) },
    { "without key", TextOf(aRoute.mIsAnonymous) },
  };
}

Fields
FieldsOf(const RoutedService& aService)
{
  return {
    { "connections", std::to_string(aService.mMaxConnections) },
    { "engine", TextOf(aService.mIsEngine) },
    { "tokens", std::to_string(aService.mTokenCapacity) },
  };
}

Fields
FieldsOf(const RoutedWorkspace& aWorkspace)
{
  const WorkspaceQuota& quota = aWorkspace.mQuota;
  return {
    { "priority",
      aWorkspace.mRank ? std::to_string(*aWorkspace.mRank) : "the route's" },
    { "quota unit", quota.mUnit == QuotaUnit::kTokens ? "tokens" : "requests" },
    { "quota rate", TextOf(quota.mRate) },
    { "quota burst", TextOf(quota.mBurst) },
    { "quota plain tokens", std::to_string(quota.mPlainTokens) },
  };
}

Fields
FieldsOf(const CallerLimits& aLimits)
{
  return {
    { "head bytes", std::to_string(aLimits.mMaxHeaderBytes) },
    { "body bytes", std::to_string(aLimits.mMaxBodyBytes) },
    { "head timeout", TextOf(aLimits.mHeaderTimeout) },
    { "idle timeout", TextOf(aLimits.mIdleTimeout) },
  };
}

const std::string&
NameOf(const Route& aRoute)
{
  return aRoute.mName;
}

const std::string&
NameOf(const RoutedService& aService)
{
  return aService.mName.mValue;
}

const std::string&
NameOf(const RoutedWorkspace& aWorkspace)
{
  return aWorkspace.mName.mValue;
}

void
CompareFields(const std::string& aPart,
              const Fields& aBefore,
              const Fields& aAfter,
              Texts& aTexts)
{
  for (std::size_t n = 0; n < aBefore.size(); ++n) {
    if (aBefore[n].second != aAfter[n].second) {
      aTexts.push_back(aPart + ": " + aBefore[n].first + " " +
                       aBefore[n].second + " -> " + aAfter[n].second);
    }
  }
}

void
CompareMore(const std::string&, const Route&, const Route&, Texts&)
{
}

void
CompareMore(const std::string&,
            const RoutedService&,
            const RoutedService&,
            Texts&)
{
}

std::ptrdiff_t
CountMissing(const RoutedWorkspace& aFrom, const RoutedWorkspace& aIn)
{
  const auto& keys = aIn.mKeyDigests;
  return std::count_if(aFrom.mKeyDigests.begin(),
                       aFrom.mKeyDigests.end(),
                       [&](const std::string& aKey) {
                         return std::find(keys.begin(), keys.end(), aKey) ==
                                keys.end();
                       });
}

// Neither keys nor their digests appear in the text.
void
CompareMore(const std::string& aPart,
            const RoutedWorkspace& aBefore,
            const RoutedWorkspace& aAfter,
            Texts& aTexts)
{
  const auto added = CountMissing(aAfter, aBefore);
  const auto removed = CountMissing(aBefore, aAfter);
  if (added > 0 || removed > 0) {
    aTexts.push_back(aPart + ": " + std::to_string(added) + " keys added, " +
                     std::to_string(removed) + " removed");
  }
}

template<class Part>
void
CompareParts(const std::string& aKind,
             const std::vector<Part>& aBefore,
             const std::vector<Part>& aAfter,
             Texts& aTexts)
{
  std::map<std::string, const Part*> before;
  std::map<std::string, const Part*> after;
  for (const Part& part : aBefore) {
    before[NameOf(part)] = &part;
  }
  for (const Part& part : aAfter) {
    after[NameOf(part)] = &part;
  }
  const auto titleOf = [&aKind](const std::string& aName) {
    return aKind + " \"" + aName + "\"";
  };
  for (const auto& [name, part] : before) {
    if (after.count(name) == 0) {
      aTexts.push_back(titleOf(name) + ": removed");
    }
  }
  for (const auto& [name, part] : after) {
    const auto it = before.find(name);
    if (it == before.end()) {
      aTexts.push_back(titleOf(name) + ": added");
      continue;
    }
    CompareFields(
      titleOf(name), FieldsOf(*it->second), FieldsOf(*part), aTexts);
    CompareMore(titleOf(name), *it->second, *part, aTexts);
  }
}

} // namespace

std::vector<std::string>
DescribeRoutingChange(const Routing& aInForce, const Routing& aNext)
{
  Texts texts;
  CompareParts("route", aInForce.mRoutes, aNext.mRoutes, texts);
  CompareParts("service", aInForce.mServices, aNext.mServices, texts);
  CompareParts("workspace", aInForce.mWorkspaces, aNext.mWorkspaces, texts);
  CompareFields("workspaces",
                { { "keys needed", TextOf(aInForce.mNeedsKeys) } },
                { { "keys needed", TextOf(aNext.mNeedsKeys) } },
                texts);
  CompareFields(
    "limits", FieldsOf(aInForce.mLimits), FieldsOf(aNext.mLimits), texts);
  return texts;
}

} // namespace heatherfork::detail
