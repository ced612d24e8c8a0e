#include "heatherfork/detail/http/info_handlers.h"

#include <atomic>

#include <Poco/JSON/Array.h>

#include "heatherfork/detail/http/answer_watch.h"
#include "heatherfork/detail/http/http_input.h"
#include "heatherfork/detail/http/http_output.h"
#include "heatherfork/detail/http/request_reader.h"
#include "heatherfork/detail/json/json_reader.h"
#include "heatherfork/entries.h"

namespace heatherfork::detail {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
constexpr std::string_view kExplainPath = "/admin/explain/";

Object::Ptr
MakeEntry(const Member& aMember)
{
  Object::Ptr entry = new Object;
  entry->set("node", aMember.mNode.mName.mValue);
  entry->set("incarnation", ToHex(aMember.mNode.mIncarnation));
  entry->set("address", aMember.mCallerAddress.mValue);
  entry->set("zone", aMember.mZone.mValue);
  return entry;
}

} // namespace

EntriesHandler::EntriesHandler(const HttpContext& aContext)
  : mContext(aContext)
{
}

void
EntriesHandler::handleRequest(HTTPServerRequest& aRequest,
                              HTTPServerResponse& aResponse)
{
  const auto watch = WatchAnswer(mContext, aRequest);
  const NodeViewPtr view = mContext.mView.Get();
  if (view->mConfiguration == nullptr) {
    SendError(
      aResponse,
      Error{ ErrorCode::kStarting, "this node has no configuration yet" });
    return;
  }
  const Configuration& configuration = *view->mConfiguration;
  if (FindWorkspaceByKey(configuration, BearerKey(aRequest)) == nullptr) {
    SendError(aResponse,
              Error{ ErrorCode::kUnauthorized,
                     "expected the key of a tenant as bearer" });
    return;
  }
  static std::atomic<std::uint64_t> sAnswerCount = 0;
  const EntriesQuery query{ ZoneName{ aRequest.get("X-Zone", "") },
                            ++sAnswerCount };
  const Entries answer = EntriesFor(view->mMembers, configuration, query);
  Array::Ptr entries = new Array;
  for (const Member& member : answer.mNodes) {
    entries->add(MakeEntry(member));
  }
  Object object;
  object.set("valid_for_ms", ToMilliseconds(answer.mValidFor));
  object.set("revision", answer.mRevision);
  object.set("entries", entries);
  SendBody(aResponse, kHttpOk, "application/json", ToText(object));
}

HealthHandler::HealthHandler(const HttpContext& aContext)
  : mContext(aContext)
{
}

void
HealthHandler::handleRequest(HTTPServerRequest& aRequest,
                             HTTPServerResponse& aResponse)
{
  const auto watch = WatchAnswer(mContext, aRequest);
  const NodeViewPtr view = mContext.mView.Get();
  if (aRequest.getURI() == "/metrics") {
    mContext.mMetrics.SetOpenCallers(mContext.mCallers.Size());
    SendBody(aResponse,
             kHttpOk,
             "text/plain; version=0.0.4",
             mContext.mMetrics.Serialize());
    return;
  }
  const bool isReady =
    view->mCondition == Condition::kServing || aRequest.getURI() == "/healthz";
  SendBody(aResponse,
           isReady ? kHttpOk : kHttpUnavailable,
           "text/plain",
           std::string(ToString(view->mCondition)) + "\n");
}

AdminHandler::AdminHandler(const HttpContext& aContext)
  : mContext(aContext)
{
}

void
AdminHandler::handleRequest(HTTPServerRequest& aRequest,
                            HTTPServerResponse& aResponse)
{
  const auto watch = WatchAnswer(mContext, aRequest);
  if (BearerKey(aRequest) != mContext.mSettings.mAdminKey) {
    SendError(
      aResponse,
      Error{ ErrorCode::kUnauthorized, "expected the admin key as bearer" });
    return;
  }
  const std::string& path = aRequest.getURI();
  if (path == "/admin/status") {
    SendStatus(aResponse);
    return;
  }
  if (path.starts_with(kExplainPath)) {
    SendExplanation(path.substr(kExplainPath.size()), aResponse);
    return;
  }
  SendError(aResponse,
            Error{ ErrorCode::kNotFound,
                   "expected /admin/status or /admin/explain/REQUEST" });
}

void
AdminHandler::SendExplanation(const std::string& aRequestId,
                              HTTPServerResponse& aResponse)
{
  const std::string ownPrefix =
    ToHex(mContext.mSettings.mNode.mSelf.mIncarnation) + "-";
  const auto caller = aRequestId.starts_with(ownPrefix)
                        ? FromHex(aRequestId.substr(ownPrefix.size()))
                        : std::nullopt;
  const auto decisions =
    caller ? mContext.mDecisions.Find(*caller) : std::vector<std::string>{};
  if (decisions.empty()) {
    SendError(aResponse,
              Error{ ErrorCode::kNotFound,
                     "expected one of this node's latest requests" });
    return;
  }
  Array::Ptr items = new Array;
  for (const std::string& decision : decisions) {
    items->add(decision);
  }
  Object object;
  object.set("request", aRequestId);
  object.set("decisions", items);
  SendBody(aResponse, kHttpOk, "application/json", ToText(object));
}

void
AdminHandler::SendStatus(HTTPServerResponse& aResponse)
{
  const NodeViewPtr view = mContext.mView.Get();
  Array::Ptr members = new Array;
  for (const Member& member : view->mMembers) {
    Object::Ptr item = MakeEntry(member);
    item->set("status", ToString(member.mStatus));
    members->add(item);
  }
  Object object;
  object.set("node", mContext.mSettings.mNode.mSelf.mName.mValue);
  object.set("incarnation", ToHex(mContext.mSettings.mNode.mSelf.mIncarnation));
  object.set("condition", ToString(view->mCondition));
  object.set("revision",
             view->mConfiguration == nullptr ? Revision{ 0 }
                                             : view->mConfiguration->mRevision);
  object.set("open_callers", mContext.mCallers.Size());
  object.set("members", members);
  SendBody(aResponse, kHttpOk, "application/json", ToText(object));
}

ErrorHandler::ErrorHandler(const HttpContext& aContext, Error aError)
  : mContext(aContext)
  , mError(std::move(aError))
{
}

void
ErrorHandler::handleRequest(HTTPServerRequest& aRequest,
                            HTTPServerResponse& aResponse)
{
  const auto watch = WatchAnswer(mContext, aRequest);
  mContext.mMetrics.OnBadInput(mError.mCode);
  aResponse.setKeepAlive(false);
  SendError(aResponse, mError);
}

} // namespace heatherfork::detail
