#include <algorithm>
#include <utility>

#include "heatherfork/detail/configuration/draft.h"
#include "heatherfork/detail/configuration/object_reader.h"
#include "heatherfork/detail/configuration/unique_names.h"
#include "heatherfork/detail/text.h"

namespace heatherfork::detail {

namespace {

/// Validates references and constraints between parts.
class CrossPartChecker
{
public:
  CrossPartChecker(const Draft& aDraft, MistakeList& aMistakes)
    : mDraft(aDraft)
    , mConfiguration(aDraft.mConfiguration)
    , mMistakes(aMistakes)
  {
  }

  void CheckModelClasses();
  void CheckCallClasses();
  void CheckPoolTargets();
  void CheckServers();
  void CheckWorkspaceKeys();
  void CheckRetention();

private:
  /// Finds a declared class. Null also when the name was already reported.
  const WorkClass* RequireClass(const ClassName& aName,
                                const DocumentLocation& aLocation);
  void AddUnknown(std::string aExpected,
                  const std::string& aName,
                  const DocumentLocation& aLocation);

  const Draft& mDraft;
  const Configuration& mConfiguration;
  MistakeList& mMistakes;
};

void
CrossPartChecker::CheckModelClasses()
{
  const DocumentLocation models{ "models", "/models" };
  for (std::size_t n = 0; n < mConfiguration.mModels.size(); ++n) {
    const DocumentLocation location = models.Index(n).Key("default_class");
    const ClassName& name = mConfiguration.mModels[n].mDefaultClass;
    const WorkClass* workClass = RequireClass(name, location);
    // The stream of a completion can be taken over by another node, which runs
    // the work again.
    if (workClass != nullptr && workClass->mMustNotRepeat) {
      mMistakes.Add(MistakeCode::kNotForCompletions,
                    location,
                    "a class whose work may be repeated",
                    Concat("the class ", Quoted(name.mValue)));
    }
  }
}

void
CrossPartChecker::CheckCallClasses()
{
  for (std::size_t n = 0; n < mConfiguration.mCalls.size(); ++n) {
    RequireClass(mConfiguration.mCalls[n].mClass,
                 mDraft.mCallLocations[n].Key("class"));
  }
}

void
CrossPartChecker::CheckPoolTargets()
{
  const auto& services = mDraft.mServices;
  for (const Pool& pool : mConfiguration.mPools) {
    const DocumentLocation part{ "pool/" + pool.mName.mValue, "" };
    if (mDraft.mHasModels && !pool.mModel.Empty() &&
        FindModel(mConfiguration, pool.mModel) == nullptr) {
      AddUnknown("a model that the part models declares",
                 pool.mModel.mValue,
                 part.Key("model"));
    }
    if (mDraft.mHasServices && !pool.mService.Empty() &&
        std::find(services.begin(), services.end(), pool.mService) ==
          services.end()) {
      AddUnknown("a service that the part services declares",
                 pool.mService.mValue,
                 part.Key("service"));
    }
  }
}

void
CrossPartChecker::CheckServers()
{
  UniqueNames names("server name", mMistakes);
  UniqueNames addresses("server address", mMistakes);
  for (const Pool& pool : mConfiguration.mPools) {
    const DocumentLocation servers{ "pool/" + pool.mName.mValue, "/servers" };
    for (std::size_t n = 0; n < pool.mServers.size(); ++n) {
      const BackendServer& server = pool.mServers[n];
      names.Add(server.mName.mValue, servers.Index(n).Key("name"));
      addresses.Add(server.mAddress.mValue, servers.Index(n).Key("address"));
    }
  }
}

void
CrossPartChecker::CheckWorkspaceKeys()
{
  UniqueNames keys("key", mMistakes);
  for (const Workspace& workspace : mConfiguration.mWorkspaces) {
    const DocumentLocation part{ "tenant/" + workspace.mName.mValue, "" };
    keys.Add(workspace.mKeyDigest, part.Key("key_sha256"));
  }
}

void
CrossPartChecker::CheckRetention()
{
  if (!mDraft.mHasLimits) {
    return;
  }
  const Duration retention = mConfiguration.mLimits.mRecordRetention;
  const std::string expected =
    Concat("at most record_retention_ms, ", ToMilliseconds(retention));
  const auto check = [&](Duration aDuration,
                         const DocumentLocation& aLocation) {
    // A zero duration stands for a value that was already reported.
    if (retention > Duration(0) && aDuration > retention) {
      mMistakes.Add(MistakeCode::kRetentionTooShort,
                    aLocation,
                    expected,
                    Concat(ToMilliseconds(aDuration)));
    }
  };
  check(mConfiguration.mLimits.mEntriesValidity,
        DocumentLocation{ "limits", "/entries_validity_ms" });
  const DocumentLocation classes{ "classes", "/classes" };
  for (std::size_t n = 0; n < mConfiguration.mClasses.size(); ++n) {
    const WorkClass& workClass = mConfiguration.mClasses[n];
    if (workClass.mMustNotRepeat) {
      check(workClass.mDeadline, classes.Index(n).Key("deadline_ms"));
    }
  }
}

const WorkClass*
CrossPartChecker::RequireClass(const ClassName& aName,
                               const DocumentLocation& aLocation)
{
  if (!mDraft.mHasClasses || aName.Empty()) {
    return nullptr;
  }
  const WorkClass* workClass = FindClass(mConfiguration, aName);
  if (workClass == nullptr) {
    AddUnknown(
      "a class that the part classes declares", aName.mValue, aLocation);
  }
  return workClass;
}

void
CrossPartChecker::AddUnknown(std::string aExpected,
                             const std::string& aName,
                             const DocumentLocation& aLocation)
{
  mMistakes.Add(MistakeCode::kUnknownReference,
                aLocation,
                std::move(aExpected),
                Quoted(aName));
}

} // namespace

void
CheckAcrossParts(const Draft& aDraft, MistakeList& aMistakes)
{
  CrossPartChecker check(aDraft, aMistakes);
  check.CheckModelClasses();
  check.CheckCallClasses();
  check.CheckPoolTargets();
  check.CheckServers();
  check.CheckWorkspaceKeys();
  check.CheckRetention();
}

} // namespace heatherfork::detail
