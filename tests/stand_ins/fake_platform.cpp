#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

#include <Poco/DigestEngine.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <openssl/sha.h>

#include "stand_in.h"

ABSL_FLAG(int, port, 0, "Port to listen on; 0 picks a free port.");
ABSL_FLAG(std::string,
          directory,
          "",
          "Initial publication: a directory of the operators' library.");

namespace heatherfork::stand_in {

namespace {

std::string
Sha256(const std::string& aBytes)
{
  Poco::DigestEngine::Digest digest(SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char*>(aBytes.data()),
         aBytes.size(),
         digest.data());
  return Poco::DigestEngine::digestToHex(digest);
}

std::string
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(in), {} };
}

/// Stand-in for the configuration service and the list of VMs.
class FakePlatform : public StandIn
{
public:
  /// Publishes a directory with the files head.json and parts/DIGEST.
  void Load(const std::filesystem::path& aDirectory);

  void Handle(const Call& aCall, Responder& aResponder) override;
  void AddCounters(Json& aCounters) override;
  void Control(const Json& aChanges) override;

private:
  struct Head
  {
    std::uint64_t mRevision = 0;
    std::map<std::string, std::string> mDigestOfPart;
  };

  void AnswerHead(const Call& aCall, Responder& aResponder);
  void AnswerPart(const std::string& aDigest, Responder& aResponder);
  void Publish(std::uint64_t aRevision, const Json& aParts);

  std::mutex mMutex;
  std::condition_variable mChanged;
  Head mPublishedHead;
  Head mServedHead; ///< Older than mPublishedHead while the head is stale.
  std::map<std::string, std::string> mPartsByDigest;
  std::string mVms = R"({"vms": []})";
  std::map<std::string, int> mCalls;
};

void
FakePlatform::Load(const std::filesystem::path& aDirectory)
{
  Poco::JSON::Parser parser;
  const auto head =
    parser.parse(ReadFile(aDirectory / "head.json")).extract<Json::Ptr>();
  mPublishedHead.mRevision = head->getValue<std::uint64_t>("revision");
  const auto parts = head->getObject("parts");
  for (const auto& key : parts->getNames()) {
    const auto digest = parts->getValue<std::string>(key);
    mPublishedHead.mDigestOfPart[key] = digest;
    mPartsByDigest[digest] = ReadFile(aDirectory / "parts" / digest);
  }
  mServedHead = mPublishedHead;
}

void
FakePlatform::Handle(const Call& aCall, Responder& aResponder)
{
  constexpr std::string_view kParts = "/v1/parts/";
  if (aCall.mPath == "/v1/head") {
    AnswerHead(aCall, aResponder);
  } else if (aCall.mPath.starts_with(kParts)) {
    AnswerPart(aCall.mPath.substr(kParts.size()), aResponder);
  } else if (aCall.mPath == "/v1/vms") {
    std::unique_lock lock(mMutex);
    ++mCalls["vms"];
    const auto vms = mVms;
    lock.unlock();
    aResponder.Send(200, vms);
  } else {
    aResponder.Send(404);
  }
}

void
FakePlatform::AnswerHead(const Call& aCall, Responder& aResponder)
{
  const auto after = aCall.Parameter("after", 0);
  const std::chrono::milliseconds wait(aCall.Parameter("wait_ms", 0));
  std::unique_lock lock(mMutex);
  ++mCalls[wait.count() > 0 ? "watch" : "head"];
  mChanged.wait_for(lock, wait, [&] { return mServedHead.mRevision > after; });
  const auto head = mServedHead;
  lock.unlock();
  Json parts;
  for (const auto& [name, digest] : head.mDigestOfPart) {
    parts.set(name, digest);
  }
  Json answer;
  answer.set("revision", head.mRevision);
  answer.set("parts", parts);
  aResponder.Send(200, ToText(answer));
}

void
FakePlatform::AnswerPart(const std::string& aDigest, Responder& aResponder)
{
  std::unique_lock lock(mMutex);
  ++mCalls["parts"];
  const auto it = mPartsByDigest.find(aDigest);
  const bool isKnown = it != mPartsByDigest.end();
  const std::string bytes = isKnown ? it->second : "{}";
  lock.unlock();
  aResponder.Send(isKnown ? 200 : 404, bytes);
}

void
FakePlatform::Publish(std::uint64_t aRevision, const Json& aParts)
{
  Head head;
  head.mRevision = aRevision;
  for (const auto& name : aParts.getNames()) {
    const auto bytes = aParts.getValue<std::string>(name);
    const auto digest = Sha256(bytes);
    mPartsByDigest[digest] = bytes;
    head.mDigestOfPart[name] = digest;
  }
  mPublishedHead = head;
}

void
FakePlatform::Control(const Json& aChanges)
{
  const std::lock_guard lock(mMutex);
  if (aChanges.has("revision")) {
    Publish(aChanges.getValue<std::uint64_t>("revision"),
            *aChanges.getObject("parts"));
  }
  if (!mFaults.Current().mIsHeadStale) {
    mServedHead = mPublishedHead;
  }
  if (aChanges.has("vms")) {
    Json vms;
    vms.set("vms", aChanges.getArray("vms"));
    mVms = ToText(vms);
  }
  mChanged.notify_all();
}

void
FakePlatform::AddCounters(Json& aCounters)
{
  const std::lock_guard lock(mMutex);
  Json calls;
  int total = 0;
  for (const auto& [name, n] : mCalls) {
    calls.set(name, n);
    total += n;
  }
  aCounters.set("calls", calls);
  aCounters.set("total", total);
  aCounters.set("revision", mPublishedHead.mRevision);
}

} // namespace

} // namespace heatherfork::stand_in

int
main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  heatherfork::stand_in::FakePlatform platform;
  const auto directory = absl::GetFlag(FLAGS_directory);
  if (!directory.empty()) {
    platform.Load(directory);
  }
  return heatherfork::stand_in::Serve(platform, absl::GetFlag(FLAGS_port));
}
