#include "heatherfork/detail/http/request_reader.h"

#include <algorithm>
#include <set>

#include "heatherfork/configuration_document.h"
#include "heatherfork/detail/hash.h"
#include "heatherfork/detail/json/json_reader.h"

namespace heatherfork::detail {

namespace {

using Poco::JSON::Object;

constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::size_t kMaxKeyLength = 200;
constexpr int kMaxTokensLimit = 1000000;
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t kMaxKeyExpiryMs = 4102444800000; // The year 2100.
constexpr int kBytesPerToken = 4;

/// Reads the members of a JSON object and keeps the first mistake found.
class FieldReader
{
public:
  explicit FieldReader(const Object& aObject)
    : mObject(aObject)
  {
  }

  std::string ReadText(const std::string& aKey, std::size_t aMaxLength)
  {
    MarkKnown(aKey);
    if (!mObject.has(aKey)) {
      return "";
    }
    const auto text = GetText(mObject, aKey);
    if (!text || text->size() > aMaxLength) {
      Fail("expected \"" + aKey + "\" to be a string of at most " +
           std::to_string(aMaxLength) + " bytes");
      return "";
    }
    return *text;
  }

  std::int64_t ReadNumber(const std::string& aKey,
                          std::int64_t aMin,
                          std::int64_t aMax,
                          std::int64_t aDefault)
  {
    MarkKnown(aKey);
    if (!mObject.has(aKey)) {
      return aDefault;
    }
    const auto number = GetNumber(mObject, aKey);
    if (!number || *number < aMin || *number > aMax) {
      Fail("expected \"" + aKey + "\" to be a whole number from " +
           std::to_string(aMin) + " to " + std::to_string(aMax));
      return aDefault;
    }
    return *number;
  }

  bool ReadBool(const std::string& aKey)
  {
    MarkKnown(aKey);
    if (!mObject.has(aKey)) {
      return false;
    }
    const auto value = GetBool(mObject, aKey);
    if (!value) {
      Fail("expected \"" + aKey + "\" to be true or false");
      return false;
    }
    return *value;
  }

  void Require(const std::string& aKey)
  {
    if (!mObject.has(aKey)) {
      Fail("expected \"" + aKey + "\"");
    }
  }

  void MarkKnown(const std::string& aKey) { mKnownKeys.insert(aKey); }

  void Fail(const std::string& aMessage)
  {
    if (mFirstMistake.empty()) {
      mFirstMistake = aMessage;
    }
  }

  /// Rejects members that were not read. Returns the first mistake, or an
  /// empty string.
  std::string Finish()
  {
    for (const auto& [key, value] : mObject) {
      if (!mKnownKeys.contains(key)) {
        Fail("expected no member \"" + key.substr(0, kMaxKeyLength) + "\"");
      }
    }
    return mFirstMistake;
  }

private:
  const Object& mObject;
  std::set<std::string> mKnownKeys;
  std::string mFirstMistake;
};

void
ReadHome(FieldReader& aReader, Request& aRequest)
{
  const std::string home = aReader.ReadText("home", kMaxKeyLength);
  if (home.empty()) {
    return;
  }
  const auto slash = home.rfind('/');
  const auto incarnation =
    slash == std::string::npos ? std::nullopt : FromHex(home.substr(slash + 1));
  if (!incarnation || *incarnation == 0 || slash == 0) {
    aReader.Fail("expected \"home\" to be \"NODE/INCARNATION\"");
    return;
  }
  aRequest.mHome = NodeId{ NodeName{ home.substr(0, slash) }, *incarnation };
}

void
ReadCommon(FieldReader& aReader, Request& aRequest)
{
  aRequest.mKey.mValue = aReader.ReadText("key", kMaxKeyLength);
  ReadHome(aReader, aRequest);
  const std::int64_t expires =
    aReader.ReadNumber("key_expires_ms", 1, kMaxKeyExpiryMs, 0);
  aRequest.mKeyExpires = Instant(Milliseconds(expires));
  if (aRequest.mHome.mIncarnation != 0) {
    aReader.Require("key");
    aReader.Require("key_expires_ms");
  }
}

Duration
ReadDeadline(FieldReader& aReader,
             const Configuration& aConfiguration,
             const ClassName& aClass)
{
  const WorkClass* workClass = FindClass(aConfiguration, aClass);
  const Duration defaultDeadline =
    workClass == nullptr ? Milliseconds(1000) : workClass->mDeadline;
  return Milliseconds(aReader.ReadNumber(
    "deadline_ms", 1, kMaxDeadlineMs, ToMilliseconds(defaultDeadline)));
}

void
ReadCompletion(FieldReader& aReader,
               const Configuration& aConfiguration,
               std::size_t aMaxBytes,
               Request& aRequest)
{
  aRequest.mKind = RequestKind::kCompletion;
  aReader.Require("model");
  aReader.Require("prompt");
  aReader.Require("max_tokens");
  aRequest.mModel.mValue = aReader.ReadText("model", kMaxKeyLength);
  aRequest.mAdapter.mValue = aReader.ReadText("adapter", kMaxKeyLength);
  aRequest.mBody = aReader.ReadText("prompt", aMaxBytes);
  aRequest.mMaxTokens =
    static_cast<int>(aReader.ReadNumber("max_tokens", 1, kMaxTokensLimit, 1));
  const auto estimate =
    static_cast<std::int64_t>(aRequest.mBody.size() / kBytesPerToken + 1);
  aRequest.mPromptTokens = static_cast<int>(
    aReader.ReadNumber("prompt_tokens", 1, kMaxTokensLimit, estimate));
  aRequest.mStream = aReader.ReadBool("stream");
  aRequest.mClass.mValue = aReader.ReadText("class", kMaxKeyLength);
  const Model* model = FindModel(aConfiguration, aRequest.mModel);
  if (aRequest.mClass.Empty() && model != nullptr) {
    aRequest.mClass = model->mDefaultClass;
  }
}

void
ReadPlainCall(FieldReader& aReader,
              const Object& aObject,
              const std::string& aTarget,
              const Configuration& aConfiguration,
              Request& aRequest)
{
  aRequest.mKind = RequestKind::kPlainCall;
  const auto slash = aTarget.find('/');
  aRequest.mService.mValue = aTarget.substr(0, slash);
  aRequest.mCall = slash == std::string::npos ? "" : aTarget.substr(slash + 1);
  aReader.Require("body");
  aReader.MarkKnown("body");
  aRequest.mBody = GetJson(aObject, "body").value_or("");
  const ServiceCall* call =
    FindCall(aConfiguration, aRequest.mService, aRequest.mCall);
  if (call != nullptr) {
    aRequest.mClass = call->mClass;
  }
}

std::uint64_t
FingerprintOf(const Request& aRequest)
{
  std::uint64_t hash = Hash(aRequest.mWorkspace.mValue);
  hash = Hash(aRequest.mModel.mValue, hash);
  hash = Hash(aRequest.mAdapter.mValue, hash);
  hash = Hash(aRequest.mService.mValue, hash);
  hash = Hash(aRequest.mCall, hash);
  hash = Hash(std::to_string(aRequest.mMaxTokens), hash);
  return Hash(aRequest.mBody, hash);
}

} // namespace

RequestResult
ReadRequest(const CallerInput& aInput,
            const Configuration& aConfiguration,
            const Workspace& aWorkspace,
            Instant aNow)
{
  const bool isCompletion = aInput.mPath == kCompletionsPath;
  if (!isCompletion && !aInput.mPath.starts_with(kServicesPath)) {
    return Error{ ErrorCode::kNotFound,
                  "expected /v1/entries, /v1/completions or "
                  "/v1/services/SERVICE/CALL" };
  }
  const auto object = ParseJsonObject(aInput.mBody);
  if (!object.ok()) {
    return Error{ ErrorCode::kBadJson, std::string(object.status().message()) };
  }
  FieldReader reader(**object);
  Request request;
  request.mWorkspace = aWorkspace.mName;
  ReadCommon(reader, request);
  if (isCompletion) {
    ReadCompletion(reader, aConfiguration, aInput.mBody.size(), request);
  } else {
    const std::string target = aInput.mPath.substr(kServicesPath.size());
    ReadPlainCall(reader, **object, target, aConfiguration, request);
  }
  request.mDeadline =
    aNow + ReadDeadline(reader, aConfiguration, request.mClass);
  const std::string mistake = reader.Finish();
  if (!mistake.empty()) {
    return Error{ ErrorCode::kBadField, mistake };
  }
  request.mFingerprint = FingerprintOf(request);
  return request;
}

const Workspace*
FindWorkspaceByKey(const Configuration& aConfiguration, const std::string& aKey)
{
  const std::string digest = DigestOf(aKey);
  const auto& workspaces = aConfiguration.mWorkspaces;
  const auto it = std::find_if(
    workspaces.begin(), workspaces.end(), [&](const Workspace& aWorkspace) {
      return aWorkspace.mKeyDigest == digest;
    });
  return it == workspaces.end() ? nullptr : &*it;
}

} // namespace heatherfork::detail
