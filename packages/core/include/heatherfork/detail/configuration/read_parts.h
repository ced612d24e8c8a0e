#pragma once

#include <string>

#include "heatherfork/detail/configuration/draft.h"
#include "heatherfork/detail/configuration/mistake_list.h"
#include "heatherfork/detail/json/value.h"

/// Readers for each kind of part. They fill the draft and report mistakes
/// within the part.
namespace heatherfork::detail {

void
ReadClasses(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes);

void
ReadLimits(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes);

void
ReadModels(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes);

void
ReadServices(const json::Value& aPart, Draft& aDraft, MistakeList& aMistakes);

/// Reads "pool/NAME".
void
ReadPool(const std::string& aName,
         const json::Value& aPart,
         Draft& aDraft,
         MistakeList& aMistakes);

/// Reads "tenant/NAME"; the published parts call a workspace a tenant.
void
ReadWorkspace(const std::string& aName,
              const json::Value& aPart,
              Draft& aDraft,
              MistakeList& aMistakes);

} // namespace heatherfork::detail
