// The journal's file format; see journal_format.h.
#include "storage/journal_format.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <optional>
#include <stdexcept>

namespace delivery {
namespace {

// The mark lets the reader find the next record after a damaged one.
constexpr std::string_view kMarkStart = "\xA7GJ";
constexpr std::size_t kMarkSize = 4, kHead1 = kMarkSize + 8, kHead2 = kMarkSize + 12, kNumberSize = 8;
constexpr std::uint32_t kLargest = 4u << 20;

enum Type : char {
  kVersion = 'V',
  kAccepted = 'A',
  kAttempted = 'T',
  kNeverRan = 'N',
  kOwed = 'W',
  kOver = 'O',
  kList = 'L',
  kAiling = 'H'
};

std::uint32_t crcOf(std::string_view data) {
  boost::crc_32_type crc;
  crc.process_bytes(data.data(), data.size());
  return crc.checksum();
}

template <class Unsigned>
void put(std::string& out, Unsigned v) {
  for (std::size_t i = 0; i < sizeof v; ++i)
    out.push_back(static_cast<char>(v >> (8 * i) & 0xff));
}
template <class Unsigned>
Unsigned get(std::string_view in, std::size_t at) {
  Unsigned v = 0;
  for (std::size_t i = 0; i < sizeof v; ++i)
    v = static_cast<Unsigned>(v | static_cast<Unsigned>(static_cast<unsigned char>(in[at + i])) << (8 * i));
  return v;
}

class Writer {
 public:
  explicit Writer(Type t) { out_.push_back(t); }
  Writer& number(std::int64_t v) {
    put(out_, static_cast<std::uint64_t>(v));
    return *this;
  }
  Writer& small(std::size_t v) {
    put(out_, static_cast<std::uint8_t>(v));
    return *this;
  }
  Writer& text(const std::string& s) {
    put(out_, static_cast<std::uint32_t>(s.size()));
    out_ += s;
    return *this;
  }
  const std::string& out() const { return out_; }

 private:
  std::string out_;
};

struct ShortRecord : std::runtime_error {
  ShortRecord() : std::runtime_error("short record") {}
};

class Reader {
 public:
  Reader(std::string_view in, std::int64_t version) : in_(in), version_(version) {}
  std::int64_t number() { return static_cast<std::int64_t>(next<std::uint64_t>()); }
  std::size_t small() {
    return version_ == 1 ? static_cast<std::size_t>(next<std::uint64_t>()) : next<std::uint8_t>();
  }
  bool truth() { return version_ == 1 ? number() != 0 : small() != 0; }
  std::string text() {
    const std::uint64_t n = version_ == 1 ? next<std::uint64_t>() : next<std::uint32_t>();
    if (n > in_.size() - at_)
      throw ShortRecord();
    std::string s(in_.substr(at_, n));
    at_ += n;
    return s;
  }
  bool more() const { return at_ < in_.size(); }

 private:
  template <class Unsigned>
  Unsigned next() {
    if (in_.size() - at_ < sizeof(Unsigned))
      throw ShortRecord();
    const Unsigned v = get<Unsigned>(in_, at_);
    at_ += sizeof(Unsigned);
    return v;
  }
  std::string_view in_;
  std::int64_t version_;
  std::size_t at_ = 1;  // past the type
};

JournalHead headOf(std::string_view payload) {
  Reader r(payload, kJournalVersion);
  JournalHead h;
  h.version = r.number();
  h.durable = r.truth();
  h.clock_shift = r.number();
  h.written_at = r.number();
  h.boot = r.text();
  return h;
}

Micros sentIn(std::string_view attempted) {
  Reader r(attempted, kJournalVersion);
  r.text();
  r.text();
  return r.number();
}

}  // namespace

std::string headPayload(const JournalHead& h) {
  return Writer(kVersion)
      .number(h.version)
      .small(h.durable)
      .number(h.clock_shift)
      .number(h.written_at)
      .text(h.boot)
      .out();
}
std::string acceptedPayload(const AcceptedMessage& m, const DiskClock& clock) {
  return Writer(kAccepted)
      .text(m.id)
      .text(m.message_class)
      .text(m.order_key)
      .text(m.idempotency_key)
      .text(m.body)
      .number(m.destination)
      .number(clock.toDisk(m.deadline))
      .small(m.is_retry)
      .text(m.tenant)
      .number(m.time_to_live)
      .out();
}
std::string attemptedPayload(const std::string& id, const JournaledAttempt& a, const DiskClock& clock) {
  return Writer(kAttempted).text(id).text(a.endpoint).number(clock.toDisk(a.sent_at)).out();
}
std::string neverRanPayload(const std::string& id, std::size_t attempt) {
  return Writer(kNeverRan).text(id).small(attempt).out();
}
std::string owedPayload(const std::string& id, const CompletionNotice& n) {
  return Writer(kOwed).text(id).small(n.returned).number(n.retry_after_ms).out();
}
std::string overPayload(const std::string& id) {
  return Writer(kOver).text(id).out();
}
std::string listPayload(const std::string& list) {
  return Writer(kList).text(list).out();
}
std::string ailingPayload(const HealthRecord& a, const DiskClock& clock) {
  return Writer(kAiling)
      .text(a.endpoint)
      .number(a.destination)
      .small(a.down)
      .number(clock.toDisk(a.warming_since))
      .number(clock.toDisk(a.retry_after_until))
      .out();
}

std::string framed(std::uint64_t number, const std::string& payload) {
  std::string numbered;
  put(numbered, number);
  numbered += payload;
  std::string out(kMarkStart);
  out.push_back('2');
  put(out, static_cast<std::uint32_t>(numbered.size()));
  put(out, crcOf(numbered));
  put(out, crcOf(out));
  return out + numbered;
}

std::size_t sizeOnDisk(const AcceptedMessage& m) {
  return kRecordOverhead + 2 + 6 * 4 + 3 * 8 + m.id.size() + m.message_class.size() + m.tenant.size() +
         m.order_key.size() + m.idempotency_key.size() + m.body.size();
}

JournalScan scanJournal(const std::string& data) {
  const std::string_view all(data);
  JournalScan scan;
  std::uint64_t number = 0;  // of version 1, which has none: as they stand, one left out for each gap
  std::size_t at = 0, gap_from = 0;
  bool gap = false, cut_short = false;
  const auto soundAt = [&](std::size_t from) -> std::optional<std::pair<JournalScan::Record, std::size_t>> {
    if (all.size() - from < kHead1 || all.compare(from, kMarkStart.size(), kMarkStart) != 0)
      return std::nullopt;
    const char version = all[from + 3];
    const std::uint32_t size = get<std::uint32_t>(all, from + 4), crc = get<std::uint32_t>(all, from + 8);
    if (version == '1') {
      if (size < 1 || size > kLargest || size > all.size() - from - kHead1)
        return std::nullopt;
      const std::string_view payload = all.substr(from + kHead1, size);
      if (crcOf(payload) != crc)
        return std::nullopt;
      return std::make_pair(JournalScan::Record{number + 1, 1, payload}, kHead1 + size);
    }
    if (version != '2' || all.size() - from < kHead2)
      return std::nullopt;
    if (crcOf(all.substr(from, kHead1)) != get<std::uint32_t>(all, from + kHead1))
      return std::nullopt;
    if (size <= kNumberSize || size > kLargest)
      return std::nullopt;
    if (size > all.size() - from - kHead2) {
      cut_short = true;  // if nothing sound follows
      return std::nullopt;
    }
    const std::string_view payload = all.substr(from + kHead2, size);
    if (crcOf(payload) != crc)
      return std::nullopt;
    return std::make_pair(
        JournalScan::Record{get<std::uint64_t>(payload, 0), kJournalVersion, payload.substr(kNumberSize)},
        kHead2 + size);
  };
  std::size_t torn_from = std::string::npos;
  while (at < all.size()) {
    cut_short = false;
    if (auto found = soundAt(at)) {
      if (gap) {
        scan.damaged.emplace_back(gap_from, at);
        if (found->first.version == 1)
          ++found->first.number;
      }
      gap = false;
      torn_from = std::string::npos;
      number = found->first.number;
      scan.records.push_back(found->first);
      at += found->second;
      scan.sound_end = at;
      continue;
    }
    if (!gap) {
      gap = true;
      gap_from = at;
      if (cut_short || all.size() - at < kHead2)
        torn_from = at;
    }
    at = std::min(all.find(kMarkStart, at + 1), all.size());
  }
  if (gap) {
    // Version 1 has no checksum of its head: what a kill cut short looks like damage, and is taken for it.
    const bool old = !scan.records.empty() && scan.records.back().version == 1;
    scan.torn = torn_from == gap_from || old;
    scan.damaged_tail = !scan.torn;
    if (scan.damaged_tail)
      scan.damaged.emplace_back(gap_from, all.size());
  }
  const auto before = [](const auto& a, const auto& b) { return a.number < b.number; };
  std::stable_sort(scan.records.begin(), scan.records.end(), before);
  const auto last = std::unique(scan.records.begin(), scan.records.end(),
                                [](const auto& a, const auto& b) { return a.number == b.number; });
  scan.repeated = static_cast<std::size_t>(scan.records.end() - last);
  scan.records.erase(last, scan.records.end());
  return scan;
}

JournalState::Applied JournalState::apply(std::string_view payload, std::int64_t version,
                                          const DiskClock& clock) try {
  Reader r(payload, version);
  const char type = payload[0];
  if (type == kVersion) {
    return headOf(payload).version > kJournalVersion ? Applied::unreadable : Applied::yes;
  }
  const std::string id = r.text();
  if (type == kList) {
    endpoint_list = id;
    return Applied::yes;
  }
  if (type == kAiling) {
    HealthRecord a;
    a.endpoint = id;
    a.destination = r.number();
    a.down = r.truth();
    a.warming_since = clock.fromDisk(r.number());
    a.retry_after_until = clock.fromDisk(r.more() ? r.number() : 0);  // before waits were kept there was none
    health_records[{a.destination, a.endpoint}] = a;
    return Applied::yes;
  }
  const auto it = entries.find(id);
  const bool open = it != entries.end();
  if (type == kAccepted) {
    JournalEntry e;
    e.message.id = id;
    e.message.message_class = r.text();
    e.message.order_key = r.text();
    e.message.idempotency_key = r.text();
    e.message.body = r.text();
    e.message.destination = r.number();
    e.message.deadline = clock.deadlineFromDisk(r.number());
    e.message.is_retry = r.truth();
    if (r.more())
      e.message.tenant = r.text();  // a journal from before tenants were kept has none
    if (r.more())
      e.message.time_to_live = r.number();
    if (open)
      return Applied::contradicts;  // its attempts are not forgotten
    e.order = ++next_order_;
    entries[id] = std::move(e);
    return Applied::yes;
  }
  if (type == kAttempted) {
    JournaledAttempt a;
    a.endpoint = r.text();
    a.sent_at = clock.fromDisk(r.number());
    if (!open || it->second.notice_pending)
      return Applied::contradicts;
    it->second.attempts.push_back(std::move(a));
  } else if (type == kNeverRan) {
    const std::size_t n = r.small();
    if (!open || n >= it->second.attempts.size())
      return Applied::contradicts;
    it->second.attempts[n].never_ran = true;
  } else if (type == kOwed) {
    CompletionNotice n;
    n.returned = r.truth();
    n.retry_after_ms = r.number();
    if (!open || it->second.notice_pending)
      return Applied::contradicts;
    it->second.notice_pending = true;
    it->second.notice = n;
  } else if (type == kOver) {
    if (!open)
      return Applied::contradicts;
    entries.erase(it);
  } else {
    return Applied::unreadable;
  }
  return Applied::yes;
} catch (const ShortRecord&) {
  return Applied::unreadable;
}

void JournalState::assumeUnknownAttempts() {
  constexpr Micros kLongAgo = INT64_MIN / 4;
  for (auto& [id, e] : entries)
    if (!e.notice_pending)
      e.attempts.push_back({"", e.attempts.empty() ? kLongAgo : e.attempts.back().sent_at, false});
}

JournalReading readJournal(const std::string& data, const Clocks& now) {
  JournalReading r;
  r.scan = scanJournal(data);
  Micros newest = 0;
  for (const auto& record : r.scan.records) {
    if (record.version == 1)
      continue;
    try {
      if (record.payload[0] == kVersion)
        r.head = headOf(record.payload);
      if (record.payload[0] == kAttempted)
        newest = std::max(newest, sentIn(record.payload));
    } catch (const ShortRecord&) {
    }  // counted below
  }
  // The clock goes on if the boot is the same, and it has not gone back: then it would be another one.
  newest = std::max(newest, r.head.written_at);
  r.same_clock = r.head.version > 0 && r.head.boot == now.boot &&
                 DiskClock(r.head.clock_shift).toDisk(now.monotonic) >= newest;
  r.clock = r.same_clock ? DiskClock(r.head.clock_shift) : DiskClock::of(now);
  const bool old = !r.scan.records.empty() && r.scan.records.back().version == 1;  // knows no boot
  r.power_cut = !r.scan.records.empty() && !old && r.head.boot != now.boot && !r.head.durable;
  std::uint64_t last = r.scan.records.empty() ? 0 : r.scan.records.front().number - 1;
  for (const auto& record : r.scan.records) {
    if (record.number != last + 1) {
      ++r.missing;
      r.state.assumeUnknownAttempts();
    }
    last = record.number;
    switch (r.state.apply(record.payload, record.version, r.clock)) {
      case JournalState::Applied::yes:
        break;
      case JournalState::Applied::contradicts:
        ++r.contradictory;
        break;
      case JournalState::Applied::unreadable:
        ++r.unreadable;
        r.state.assumeUnknownAttempts();
        break;
    }
  }
  if (r.scan.damaged_tail || r.power_cut)
    r.state.assumeUnknownAttempts();
  if (!r.same_clock)
    for (auto& [id, e] : r.state.entries)
      if (e.message.time_to_live > 0)
        e.message.deadline =
            std::min(e.message.deadline, Deadline::after(now.monotonic, e.message.time_to_live));
  r.next_number = last + 1;
  return r;
}

}  // namespace delivery
