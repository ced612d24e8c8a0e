#include <algorithm>
#include <map>
#include <set>

#include "heatherfork/detail/relay/finding_list.h"

namespace heatherfork::detail {

namespace {

std::string
TextOf(Duration aDuration)
{
  return std::to_string(ToMilliseconds(aDuration)) + " ms";
}

std::string
Quoted(const std::string& aName)
{
  return "\"" + aName + "\"";
}

void
CheckPrefix(const Route& aRoute, FindingList& aFindings)
{
  const std::string& prefix = aRoute.mPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    aFindings.Error("never matches: its prefix " + Quoted(prefix) +
                    " does not begin and end with a slash");
  }
  if (aRoute.mHost.empty()) {
    aFindings.Error("never matches: its host is empty");
  }
}

void
CheckShares(const Route& aRoute,
            const std::set<ServiceName>& aServices,
            FindingList& aFindings)
{
  int total = 0;
  std::set<ServiceName> seen;
  for (const RouteShare& share : aRoute.mShares) {
    const std::string name = Quoted(share.mService.mValue);
    if (aServices.count(share.mService) == 0) {
      aFindings.Error("service " + name + " does not exist");
    }
    if (!seen.insert(share.mService).second) {
      aFindings.Warn("service " + name + " is listed twice");
    }
    if (share.mWeight < 0) {
      aFindings.Error("weight " + std::to_string(share.mWeight) +
                      " of service " + name + " is below 0");
    } else if (share.mWeight == 0 && aRoute.mShares.size() > 1) {
      aFindings.Warn("service " + name + " gets no requests, with weight 0");
    }
    total += std::max(0, share.mWeight);
  }
  if (total == 0) {
    aFindings.Error("all its services have weight 0");
  }
}

void
CheckTimes(const Route& aRoute, FindingList& aFindings)
{
  if (aRoute.mTimeout <= Duration{}) {
    aFindings.Error("its timeout is " + TextOf(aRoute.mTimeout));
    return;
  }
  const std::string timeout =
    " exceeds the timeout of " + TextOf(aRoute.mTimeout);
  if (aRoute.mTarget > aRoute.mTimeout) {
    aFindings.Warn("target of " + TextOf(aRoute.mTarget) + timeout);
  }
  if (aRoute.mIsStream && aRoute.mGapTarget > aRoute.mTimeout) {
    aFindings.Warn("target of " + TextOf(aRoute.mGapTarget) +
                   " between events" + timeout);
  }
  if (!aRoute.mIsStream && aRoute.mGapTarget > Duration{}) {
    aFindings.Warn("a target between events has no effect: it is no stream");
  }
}

void
CheckAttempts(const Route& aRoute, FindingList& aFindings)
{
  const std::string attempts =
    std::to_string(aRoute.mMaxAttempts) + " attempts";
  if (aRoute.mMaxAttempts < 1) {
    aFindings.Error(attempts + " run no request");
  }
  if (aRoute.mIsResumable && !aRoute.mIsStream) {
    aFindings.Warn("to resume has no effect: it is no stream");
  }
  const bool mayRunAgain = aRoute.mIsStream
                             ? aRoute.mIsResumable
                             : aRoute.mRepeat == RepeatRule::kMayRepeat;
  if (aRoute.mMaxAttempts > 1 && !mayRunAgain) {
    aFindings.Warn(attempts +
                   (aRoute.mIsStream
                      ? " contradict a stream that can't be resumed"
                      : " contradict requests that must not run twice"));
  }
  if (aRoute.mRank < 0) {
    aFindings.Error("its priority " + std::to_string(aRoute.mRank) +
                    " is below 0");
  }
}

std::set<ServiceName>
CheckServices(const Routing& aRouting, FindingList& aFindings)
{
  std::set<ServiceName> names;
  for (const RoutedService& service : aRouting.mServices) {
    aFindings.SetPart("service", service.mName.mValue);
    if (!names.insert(service.mName).second) {
      aFindings.Error("its name is used twice");
    }
    if (service.mMaxConnections <= 0) {
      aFindings.Error("its replicas may have " +
                      std::to_string(service.mMaxConnections) + " connections");
    }
    if (service.mIsEngine && service.mTokenCapacity <= 0) {
      aFindings.Error("its engines have room for " +
                      std::to_string(service.mTokenCapacity) + " tokens");
    }
  }
  return names;
}

void
WarnOfUnusedServices(const Routing& aRouting, FindingList& aFindings)
{
  std::set<ServiceName> used;
  for (const Route& route : aRouting.mRoutes) {
    for (const RouteShare& share : route.mShares) {
      used.insert(share.mService);
    }
  }
  for (const RoutedService& service : aRouting.mServices) {
    if (used.count(service.mName) == 0) {
      aFindings.SetPart("service", service.mName.mValue);
      aFindings.Warn("no route refers to it");
    }
  }
}

} // namespace

// Of two routes with one host and prefix, requests take the later one.
void
CheckRoutes(const Routing& aRouting, FindingList& aFindings)
{
  const auto services = CheckServices(aRouting, aFindings);
  WarnOfUnusedServices(aRouting, aFindings);
  std::map<std::pair<std::string, std::string>, const Route*> places;
  std::set<std::string> names;
  for (const Route& route : aRouting.mRoutes) {
    Route const*& place = places[{ route.mHost, route.mPrefix }];
    if (place != nullptr) {
      aFindings.SetPart("route", place->mName);
      aFindings.Error("never matches: route " + Quoted(route.mName) +
                      " has its host and prefix");
    }
    place = &route;
    aFindings.SetPart("route", route.mName);
    if (!names.insert(route.mName).second) {
      aFindings.Error("its name is used twice");
    }
    CheckPrefix(route, aFindings);
    CheckShares(route, services, aFindings);
    CheckTimes(route, aFindings);
    CheckAttempts(route, aFindings);
  }
}

} // namespace heatherfork::detail
