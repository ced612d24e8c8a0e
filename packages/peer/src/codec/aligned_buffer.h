#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// A copy of received bytes, aligned as FlatBuffers requires.
namespace heatherfork::wire_map {

class AlignedBuffer
{
public:
  explicit AlignedBuffer(std::string_view aBytes)
    : mStorage((aBytes.size() / sizeof(std::uint64_t)) + 1)
  {
    aBytes.copy(reinterpret_cast<char*>(mStorage.data()), aBytes.size());
  }

  const std::uint8_t* Data() const
  {
    return reinterpret_cast<const std::uint8_t*>(mStorage.data());
  }

private:
  std::vector<std::uint64_t> mStorage;
};

} // namespace heatherfork::wire_map
