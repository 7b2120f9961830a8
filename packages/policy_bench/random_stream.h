// RandomStream: random numbers of the measurement models. Own generator, so
// that a seed gives the same stream with every standard library.
#ifndef POLICY_BENCH_RANDOM_STREAM_H_
#define POLICY_BENCH_RANDOM_STREAM_H_

#include <cmath>
#include <cstdint>

namespace toucanhollow {

struct RandomStream {
  std::uint64_t state = 0;

  bool operator==(const RandomStream&) const = default;
};

// SplitMix64.
inline std::uint64_t NextBits(RandomStream& stream) {
  stream.state += 0x9e3779b97f4a7c15;
  std::uint64_t bits = stream.state;
  bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
  bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
  return bits ^ (bits >> 31);
}

// In [0, 1).
inline double NextUnit(RandomStream& stream) {
  return static_cast<double>(NextBits(stream) >> 11) * 0x1.0p-53;
}

inline double NextBetween(RandomStream& stream, double low, double high) {
  return low + (high - low) * NextUnit(stream);
}

inline double NextExponential(RandomStream& stream, double mean) {
  return -mean * std::log1p(-NextUnit(stream));
}

}  // namespace toucanhollow

#endif  // POLICY_BENCH_RANDOM_STREAM_H_
