#include "heatherfork/detail/platform/platform_client.h"

#include <istream>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <spdlog/spdlog.h>

#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/http/strict_session.h"
#include "heatherfork/detail/json/json_reader.h"

namespace heatherfork::detail {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::size_t kMaxConcurrentReads = 32;
constexpr Duration kReadTimeout = Milliseconds(2000);
constexpr Duration kVmListPollInterval = Milliseconds(2000);

absl::StatusOr<std::string>
HttpGet(const Address& aService, const std::string& aPath, Duration aTimeout)
{
  try {
    const auto session =
      MakeStrictSession(ConnectTo(aService, aTimeout), aTimeout);
    Poco::Net::HTTPRequest request("GET", aPath, "HTTP/1.1");
    request.setHost(aService.mValue);
    session->sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::istream& input = session->receiveResponse(response);
    std::string body(kMaxDocumentBytes + 1, '\0');
    input.read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(input.gcount()));
    if (body.size() > kMaxDocumentBytes) {
      return absl::OutOfRangeError("expected at most one megabyte");
    }
    if (!HasWholeResponse(*session)) {
      return absl::UnavailableError("expected a complete answer");
    }
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return absl::UnavailableError("expected status 200, found " +
                                    std::to_string(response.getStatus()));
    }
    return body;
  } catch (const std::exception& ec) {
    return absl::UnavailableError(ec.what());
  }
}

absl::StatusOr<VmRecord>
ReadVm(const Object& aObject)
{
  const auto name = GetText(aObject, "name");
  const auto address = GetText(aObject, "peer_address");
  const auto zone = GetText(aObject, "zone");
  const auto role = GetText(aObject, "role");
  const auto state = GetText(aObject, "state");
  if (!name || !zone || !role || !state) {
    return absl::InvalidArgumentError("expected name, zone, role and state");
  }
  return VmRecord{ *name,
                   Address{ address.value_or("") },
                   ZoneName{ *zone },
                   *role == "entry" ? VmRole::kEntry : VmRole::kBackend,
                   *state == "leaving" };
}

} // namespace

PlatformClient::PlatformClient(Address aConfigurationService,
                               Address aVmList,
                               Sink aSink)
  : mConfigurationService(std::move(aConfigurationService))
  , mVmList(std::move(aVmList))
  , mSink(std::move(aSink))
  , mPool(kMaxConcurrentReads)
{
}

PlatformClient::~PlatformClient()
{
  Stop();
}

void
PlatformClient::Start()
{
  mThread = std::thread([this] { PollVmList(); });
}

void
PlatformClient::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PlatformClient::Begin(const ReadHead& aRead)
{
  std::string path = "/v1/head";
  if (aRead.mWait.count() > 0) {
    path += "?after=" + std::to_string(aRead.mAfter) +
            "&wait_ms=" + std::to_string(ToMilliseconds(aRead.mWait));
  }
  mPool.Post([this, path, wait = aRead.mWait] {
    auto body = HttpGet(mConfigurationService, path, wait + kReadTimeout);
    mSink(HeadRead{ body.ok(), body.ok() ? *std::move(body) : "" });
  });
}

void
PlatformClient::Begin(const ReadPart& aRead)
{
  mPool.Post([this, digest = aRead.mDigest] {
    auto body =
      HttpGet(mConfigurationService, "/v1/parts/" + digest, kReadTimeout);
    mSink(PartRead{ digest, body.ok(), body.ok() ? *std::move(body) : "" });
  });
}

void
PlatformClient::PollVmList()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    lock.unlock();
    const auto body = HttpGet(mVmList, "/v1/vms", kReadTimeout);
    auto list =
      body.ok() ? ReadVmList(*body) : absl::StatusOr<VmListRead>(body.status());
    if (list.ok()) {
      mSink(*std::move(list));
    } else {
      spdlog::debug("list of VMs: {}", std::string(list.status().message()));
    }
    lock.lock();
    mWake.wait_for(lock, kVmListPollInterval, [this] { return mIsStopping; });
  }
}

absl::StatusOr<VmListRead>
ReadVmList(const std::string& aBody)
{
  const auto object = ParseJsonObject(aBody);
  if (!object.ok()) {
    return object.status();
  }
  const Array::Ptr vms = (*object)->getArray("vms");
  if (vms.isNull()) {
    return absl::InvalidArgumentError("expected \"vms\" to be an array");
  }
  VmListRead list;
  for (std::size_t n = 0; n < vms->size(); ++n) {
    const Object::Ptr item = vms->getObject(static_cast<unsigned>(n));
    auto vm = item.isNull() ? absl::InvalidArgumentError("expected an object")
                            : ReadVm(*item);
    if (vm.ok()) {
      list.mVms.push_back(*std::move(vm));
    } else {
      // Skips an invalid record, so that it does not invalidate the others.
      spdlog::debug(
        "list of VMs: record {}: {}", n, std::string(vm.status().message()));
    }
  }
  return list;
}

} // namespace heatherfork::detail
