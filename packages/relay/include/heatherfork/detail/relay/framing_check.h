#pragma once

#include <cstddef>
#include <string_view>

/// Finds a broken response before its head is complete.
namespace heatherfork::relay {

/// Checks the lines that frame a response as their bytes arrive: its head, or
/// the lines between two chunks and after the last one.
class FramingCheck
{
public:
  static FramingCheck OfHead() { return FramingCheck(Part::kVersion); }
  static FramingCheck OfFirstChunk() { return FramingCheck(Part::kChunkSize); }
  static FramingCheck OfNextChunk() { return FramingCheck(Part::kChunkEnd); }

  /// Checks further bytes. Returns false once the lines are broken, whatever
  /// follows. Ignores what comes after the lines. Complexity: linear.
  bool Add(std::string_view aBytes);

private:
  /// What the next byte belongs to.
  enum class Part
  {
    kVersion,
    kStatus,
    kReason,
    kLineStart,
    kName,
    kValue,
    kLineEnd, ///< The line feed.
    kLastLineEnd,
    kChunkEnd, ///< The carriage return after the bytes of a chunk.
    kChunkLineEnd,
    kChunkSize,
    kChunkExtension,
    kChunkSizeEnd,
    kDone,
    kBroken,
  };

  explicit FramingCheck(Part aFirst)
    : mPart(aFirst)
  {
  }

  Part Next(char aByte);
  Part NextInVersion(char aByte);
  Part NextInStatus(char aByte);
  Part NextInChunkSize(char aByte);

  Part mPart;
  std::size_t mAt = 0; ///< Bytes of the current part so far.
  int mStatus = 0;
  bool mHasChunkSize = false;
  bool mIsLastChunk = true; ///< All digits of the size are zero.
};

} // namespace heatherfork::relay
