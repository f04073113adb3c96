// The journal; see journal.h.
#include "storage/journal.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace delivery {
namespace {

constexpr std::uint64_t kBlock = 512;
// Bytes kept free for each message taken on: its attempts, their ends and its notice.
constexpr std::uint64_t kSeeThrough = 1536;
// Compaction is worth its writes once this much, and more than half of the file, is of messages long over.
constexpr std::uint64_t kLeastWaste = 64u << 10;
constexpr std::uint64_t kHeadRecord = 128;  // at most
constexpr std::uint64_t kShareAside = 16;   // one part in so many of the disk may keep what can't be read

std::uint64_t blocks(std::uint64_t bytes) {
  return (bytes + kBlock - 1) / kBlock * kBlock;
}

[[noreturn]] void fault(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

}  // namespace

Journal::Journal(const std::string& folder, Options options, const Clocks& now, FileSystem& files)
    : files_(files),
      folder_(folder),
      path_(folder + "/journal"),
      fresh_path_(folder + "/journal.new"),
      aside_path_(folder + "/journal.damaged"),
      options_(options),
      disk_(options.disk_bytes) {
  files_.unlink(fresh_path_);  // a rewrite that was cut short: the old file still holds all
  fd_ = files_.open(path_, O_RDWR | O_CREAT | O_APPEND);
  if (fd_ < 0)
    fault("journal: " + path_);
  try {
    recover(now);
  } catch (...) {
    files_.close(fd_);
    throw;
  }
}

Journal::~Journal() {
  close();
}

void Journal::close() {
  if (fd_ < 0)
    return;
  flush();
  files_.close(fd_);
  fd_ = -1;
}

// As far as it can be read: what follows counts as damage.
std::string Journal::readAll() {
  std::string data;
  char piece[65536];
  for (;;) {
    const ssize_t n = files_.read(fd_, piece, sizeof piece);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0) {
      recovered_.summary = std::string("read stopped: ") + std::strerror(errno) + "; ";
      suspect_ = true;
    }
    if (n <= 0)
      return data;
    data.append(piece, static_cast<std::size_t>(n));
  }
}

void Journal::recover(const Clocks& now) {
  const std::string data = readAll();
  JournalReading r = readJournal(data, now);
  if (suspect_)
    r.state.assumeUnknownAttempts();
  recovered_.damaged = r.damaged() || suspect_;
  recovered_.summary += std::to_string(r.scan.records.size()) + " records in " + std::to_string(data.size()) +
                        " bytes, " + std::to_string(r.scan.damaged.size()) + " damaged stretches";
  if (r.missing > 0)
    recovered_.summary += ", " + std::to_string(r.missing) + " gaps";
  if (r.unreadable > 0)
    recovered_.summary += ", " + std::to_string(r.unreadable) + " of an unknown kind";
  if (r.contradictory > 0)
    recovered_.summary += ", " + std::to_string(r.contradictory) + " contradictory";
  if (r.scan.repeated > 0)
    recovered_.summary += ", " + std::to_string(r.scan.repeated) + " repeated";
  if (r.scan.torn)
    recovered_.summary += ", a torn tail";
  if (r.power_cut)
    recovered_.summary += ", after a power cut";
  state_ = std::move(r.state);
  clock_ = r.clock;
  next_number_ = r.next_number;
  head_ = {kJournalVersion, options_.durable, clock_.shift(), clock_.toDisk(now.monotonic), now.boot};
  live_ = liveBytes();
  const off_t there = files_.size(fd_);
  size_ = there < 0 ? data.size() : static_cast<std::uint64_t>(there);
  setAside(data, r);
  if (r.scan.torn && files_.truncate(fd_, static_cast<off_t>(r.scan.sound_end)) == 0)
    size_ = r.scan.sound_end;
  const bool as_it_is = r.same_clock && r.head.version == kJournalVersion &&
                        r.head.durable == options_.durable && !recovered_.damaged && r.scan.repeated == 0;
  if (!as_it_is && !compact())
    goOnInPlace();
  // The process before may have been killed between a write or a rename and its sync.
  if (options_.durable && (files_.sync(fd_) != 0 || files_.syncFolder(folder_) != 0))
    suspect_ = true;
  for (const auto& [id, e] : state_.entries)
    recovered_.entries.push_back(e);
  std::sort(recovered_.entries.begin(), recovered_.entries.end(),
            [](const Entry& a, const Entry& b) { return a.order < b.order; });
  recovered_.endpoint_list = state_.endpoint_list;
  for (const auto& [key, a] : state_.health_records)
    recovered_.health_records.push_back(a);
}

// No room to write all anew: what is in doubt is written behind what is there, or it would be forgotten.
void Journal::goOnInPlace() {
  append(headPayload(head_));
  std::vector<std::pair<std::string, JournaledAttempt>> doubted;
  for (const auto& [id, e] : state_.entries)
    if (!e.notice_pending && !e.attempts.empty() && e.attempts.back().endpoint.empty())
      doubted.emplace_back(id, e.attempts.back());
  for (const auto& [id, a] : doubted)
    recordAttempt(id, a);
  flush();
}

// Keeps what can't be read, within its part of the disk, for somebody to look at.
void Journal::setAside(const std::string& data, const JournalReading& r) {
  const int fd = files_.open(aside_path_, O_WRONLY | O_APPEND | (r.scan.damaged.empty() ? 0 : O_CREAT));
  if (fd < 0)
    return;
  const off_t there = files_.size(fd);
  std::uint64_t size = there < 0 ? 0 : static_cast<std::uint64_t>(there);
  const std::uint64_t most = options_.disk_bytes / kShareAside;
  std::uint64_t lost = 0;
  for (const auto& [from, to] : r.scan.damaged) {
    std::string kept = "\n-- bytes " + std::to_string(from) + " to " + std::to_string(to) + "\n" +
                       data.substr(from, to - from);
    const std::uint64_t room = most > size ? most - size : 0;
    if (kept.size() > room)
      lost += kept.size() - room;
    kept.resize(std::min<std::uint64_t>(kept.size(), room));
    if (kept.empty())
      continue;
    if (writeAll(fd, kept))
      size += kept.size();
    else
      lost += kept.size();
  }
  files_.close(fd);
  if (!r.scan.damaged.empty())
    recovered_.summary += "; kept in journal.damaged" +
                          (lost > 0 ? " but for " + std::to_string(lost) + " bytes" : std::string());
  disk_ = options_.disk_bytes - std::min(options_.disk_bytes, blocks(size));
}

std::uint64_t Journal::liveBytes() const {
  std::uint64_t live =
      kHeadRecord + kRecordOverhead + state_.endpoint_list.size() + state_.health_records.size() * 128;
  for (const auto& [id, e] : state_.entries)
    live += sizeOnDisk(e.message) + kSeeThrough;
  return live;
}

// Guards against a message that is taken on and then can't be kept. Right after a rewrite the file holds what
// is live, and the next one writes as much again beside it.
bool Journal::reserve(const AcceptedMessage& m) {
  const std::uint64_t more = reserved_ + sizeOnDisk(m) + kSeeThrough, live = live_ + more;
  auto fits = [&](std::uint64_t file) { return blocks(file) + blocks(live) + kLeastWaste <= disk_; };
  if (!fits(live))
    return false;
  if (!fits(size_ + buffer_.size() + more) && (!compact() || !fits(size_ + more)))
    return false;
  reserved_ = more;
  return true;
}

bool Journal::append(const std::string& payload) {
  if (state_.apply(payload, kJournalVersion, clock_) != JournalState::Applied::yes)
    return false;
  buffer_ += framed(next_number_++, payload);
  return true;
}

void Journal::recordAccepted(const AcceptedMessage& m) {
  if (!append(acceptedPayload(m, clock_)))
    return;
  live_ += sizeOnDisk(m) + kSeeThrough;
  to_sync_ = true;
}
void Journal::recordAttempt(const std::string& id, const JournaledAttempt& a) {
  if (append(attemptedPayload(id, a, clock_)))
    to_sync_ = true;
}
void Journal::recordNeverRan(const std::string& id, std::size_t attempt) {
  append(neverRanPayload(id, attempt));
}
void Journal::recordNoticePending(const std::string& id, const CompletionNotice& n) {
  append(owedPayload(id, n));
}
void Journal::recordCompleted(const std::string& id) {
  const auto it = state_.entries.find(id);
  if (it == state_.entries.end())
    return;
  live_ -= sizeOnDisk(it->second.message) + kSeeThrough;
  append(overPayload(id));
}
void Journal::recordEndpointList(const std::string& list) {
  append(listPayload(list));
  live_ = liveBytes();
}
void Journal::recordHealth(const HealthRecord& a) {
  append(ailingPayload(a, clock_));
  live_ = liveBytes();
}

bool Journal::writeAll(int fd, const std::string& data) {
  for (std::size_t done = 0; done < data.size();) {
    const ssize_t n = files_.write(fd, data.data() + done, data.size() - done);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

bool Journal::wasteful(std::uint64_t size) const {
  return size > 2 * live_ && size - live_ > 4 * kLeastWaste;
}

// Old and new file are there together for a moment, so a rewrite comes while both still fit the budget.
bool Journal::flush() {
  reserved_ = 0;
  if (buffer_.empty() && !suspect_)
    return true;
  const std::uint64_t after = size_ + buffer_.size();
  const bool must = suspect_ || blocks(after) + blocks(live_) + kLeastWaste > disk_;
  if ((must || wasteful(after)) && compact())
    return true;
  if (suspect_ || blocks(after) > disk_)
    return false;
  if (!writeAll(fd_, buffer_) || (options_.durable && to_sync_ && files_.sync(fd_) != 0)) {
    // Half a write is harmless: what waits is written again with the same numbers. A sync that failed tells
    // nothing of what is on the disk, so all is written anew elsewhere.
    if (files_.truncate(fd_, static_cast<off_t>(size_)) != 0) {
      const off_t there = files_.size(fd_);
      if (there >= 0)
        size_ = static_cast<std::uint64_t>(there);
    }
    suspect_ = suspect_ || options_.durable;
    return false;
  }
  size_ = after;
  buffer_.clear();
  to_sync_ = false;
  return true;
}

// Writes anew what is open, then renames: a kill at any moment leaves the old file or the new one, whole.
bool Journal::compact() {
  std::vector<const Entry*> order;
  for (const auto& [id, e] : state_.entries)
    order.push_back(&e);
  std::sort(order.begin(), order.end(), [](const Entry* a, const Entry* b) { return a->order < b->order; });
  std::uint64_t number = next_number_;
  std::string data;
  const auto add = [&](const std::string& payload) { data += framed(number++, payload); };
  add(headPayload(head_));
  if (!state_.endpoint_list.empty())
    add(listPayload(state_.endpoint_list));
  for (const auto& [key, a] : state_.health_records)
    add(ailingPayload(a, clock_));
  for (const Entry* e : order) {
    add(acceptedPayload(e->message, clock_));
    for (std::size_t i = 0; i < e->attempts.size(); ++i) {
      add(attemptedPayload(e->message.id, e->attempts[i], clock_));
      if (e->attempts[i].never_ran)
        add(neverRanPayload(e->message.id, i));
    }
    if (e->notice_pending)
      add(owedPayload(e->message.id, e->notice));
  }
  if (blocks(size_) + blocks(data.size()) > disk_)
    return false;
  const int fd = files_.open(fresh_path_, O_RDWR | O_CREAT | O_TRUNC | O_APPEND);
  if (fd < 0)
    return false;
  if (!writeAll(fd, data) || (options_.durable && files_.sync(fd) != 0) ||
      files_.rename(fresh_path_, path_) != 0) {
    files_.close(fd);
    files_.unlink(fresh_path_);
    return false;
  }
  files_.close(fd_);
  fd_ = fd;
  size_ = data.size();
  next_number_ = number;
  buffer_.clear();
  to_sync_ = false;
  live_ = liveBytes();
  // Whose name is not on the disk may be gone with a power cut, and the old file be back.
  suspect_ = options_.durable && files_.syncFolder(folder_) != 0;
  return !suspect_;
}

}  // namespace delivery
