// Decides how long a connection must have been quiet before the next request is written on it, and counts the
// data that endpoints send without a request. It does no input or output.
//
// Some endpoints send more than a response: a second copy of it, or noise. Data that arrives while no request
// is outstanding is no response (RFC 9112, section 9.2), but behind the next request it looks like the
// response to that. Therefore a connection is used again only after such data has had time to arrive.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "common/clocks.h"

namespace delivery {

// How long a connection is quiet between a response and the next request, in microseconds.
constexpr Micros kMinQuietTime = 10'000;
// The longest quiet time, in microseconds. A call that waits longer would do better to open a connection.
constexpr Micros kMaxQuietTime = 100'000;

class QuietTimePolicy {
 public:
  // The quiet time of connections to the endpoint: twice the longest gap that was observed lately, between
  // kMinQuietTime and kMaxQuietTime.
  Micros quietTime(const std::string& endpoint, Micros now) const;

  // Records that the endpoint sent data without a request, `gap` after its last response. Returns how often
  // it has done so.
  std::int64_t onUnsolicitedData(const std::string& endpoint, Micros gap, Micros now);

 private:
  struct Observation {
    std::int64_t count = 0;
    Micros longest_gap = 0;  // of those since `longest_gap` was last forgotten
    Micros last_at = 0;
  };
  bool isRecent(const Observation& observation, Micros now) const;

  std::map<std::string, Observation> observations_;  // by endpoint; only those that sent such data
};

}  // namespace delivery
