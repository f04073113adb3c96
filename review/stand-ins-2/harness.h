// Stand-ins for the second review: the sender as a child process, clients, endpoints, and the platform
// (discovery and notices). Everything listens on loopback addresses and runs on the real clock. Threads and
// blocking sockets keep it short; it is no load rig.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rv {

using json = nlohmann::json;

// Milliseconds on the monotonic clock since the program began.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void sleepMs(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntil(double at) {
  sleepMs(at - now());
}

// Writes one line to record.txt (the program's standard output), with the time in milliseconds.
inline void record(const char* format, ...) {
  static std::mutex mutex;
  char text[2048];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  std::lock_guard<std::mutex> lock(mutex);
  std::printf("%10.1f %s\n", now(), text);
  std::fflush(stdout);
}

// Exit code 2: the case could not run.
[[noreturn]] inline void cannotRun(const std::string& reason) {
  record("cannot run: %s", reason.c_str());
  std::_Exit(2);
}

inline bool withTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline int listenOn(int port, int backlog = 512) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
// A port that nothing listens on, below the range from which the kernel takes the ports of outgoing
// connections.
inline int freePort() {
  static std::mt19937 random(std::random_device{}());
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int port = std::uniform_int_distribution<int>(10000, 30000)(random);
    const int fd = listenOn(port);
    if (fd < 0)
      continue;
    ::close(fd);
    return port;
  }
  cannotRun("no free port");
}
inline std::string addressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

inline int connectTo(int port, double timeout_ms = 1000) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    pollfd entry{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeout_ms)) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}
inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}
inline void resetConnection(int fd) {
  const linger option{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}
// Whether the peer has closed or reset the connection.
inline bool peerGone(int fd) {
  pollfd entry{fd, POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) == 1 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

struct HttpRequest {
  std::string head, body;
  std::string field(const std::string& name) const {
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
      if (line.size() > name.size() + 1 && line[name.size()] == ':' &&
          ::strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
        std::size_t begin = name.size() + 1;
        while (begin < line.size() && line[begin] == ' ')
          ++begin;
        std::size_t end = line.size();
        while (end > begin && (line[end - 1] == '\r' || line[end - 1] == ' '))
          --end;
        return line.substr(begin, end - begin);
      }
    }
    return "";
  }
};

inline std::string httpAnswer(const std::string& status, const std::string& fields = "",
                              const std::string& body = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
         "\r\n" + body;
}

// An HTTP server with a thread for each connection. `serve` returns false to end the connection.
class HttpServer {
 public:
  using Serve = std::function<bool(int fd, int connection, const HttpRequest&)>;
  explicit HttpServer(Serve serve, int port = 0) : serve_(std::move(serve)) {
    fd_ = listenOn(port);
    if (fd_ < 0)
      cannotRun("a stand-in can't listen");
    port_ = portOf(fd_);
    thread_ = std::thread([this] { acceptLoop(); });
  }
  ~HttpServer() { stop(); }
  int port() const { return port_; }
  std::string address() const { return addressOf(port_); }
  void stop() {
    if (stopped_.exchange(true))
      return;
    thread_.join();
    ::close(fd_);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (const int fd : open_)
        ::shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : threads_)
      thread.join();
  }
  std::function<void(int connection)> on_accept = {};
  bool stopped() const { return stopped_; }
  // Takes no new connections from now on: they are refused.
  void refuseNew() {
    refusing_ = true;
    while (!refuses_ && !stopped_)
      sleepMs(1);
  }
  // Ends all open connections: with a reset, or in the ordinary way.
  void endConnections(bool reset) {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) {
      if (reset)
        resetConnection(fd);
      ::shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  void acceptLoop() {
    while (!stopped_) {
      if (refusing_ && !refuses_) {
        ::shutdown(fd_, SHUT_RDWR);  // ends the listening
        refuses_ = true;
      }
      pollfd entry{fd_, POLLIN, 0};
      if (refuses_) {
        sleepMs(20);
        continue;
      }
      if (::poll(&entry, 1, 20) != 1)
        continue;
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const int connection = connections_++;
      if (on_accept)
        on_accept(connection);
      std::lock_guard<std::mutex> lock(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd, connection] { connectionLoop(fd, connection); });
    }
  }
  void connectionLoop(int fd, int connection) {
    std::string input;
    HttpRequest request;
    while (!stopped_ && readRequest(fd, input, request) && serve_(fd, connection, request)) {
    }
    std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }
  bool readRequest(int fd, std::string& input, HttpRequest& request) {
    char buffer[65536];
    while (!stopped_) {
      const std::size_t head_end = input.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        request.head = input.substr(0, head_end + 2);
        const std::size_t length = std::strtoull(request.field("Content-Length").c_str(), nullptr, 10);
        if (input.size() >= head_end + 4 + length) {
          request.body = input.substr(head_end + 4, length);
          input.erase(0, head_end + 4 + length);
          return true;
        }
      }
      pollfd entry{fd, POLLIN, 0};
      if (::poll(&entry, 1, 20) != 1)
        continue;
      const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        return false;
      input.append(buffer, static_cast<std::size_t>(count));
    }
    return false;
  }

  Serve serve_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> refusing_{false};
  std::atomic<bool> refuses_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::set<int> open_;
  std::list<std::thread> threads_;
  std::thread thread_;
};

// A call as an endpoint saw it. `written`: the first line of the answer was written while the sender's
// connection was open.
struct Call {
  std::string endpoint, id, key, body;
  double at = 0;  // when its last byte had come
  int connection = 0;
  int number = 0;  // of all calls with this id, from 0
  double answered_at = -1;
  int status = 0;  // of the answer; 0: none was written
  bool written = false;
  bool over = false;  // answered, or its connection has ended
};
// What an endpoint does with a call.
struct Reply {
  double delay_ms = 0;
  std::string bytes;  // empty: none
  enum After { keep, close, reset, silent } after = keep;
};

// All calls of all endpoints.
class Calls {
 public:
  std::size_t add(Call call) {
    std::lock_guard<std::mutex> lock(mutex_);
    call.number = counts_[call.id]++;
    calls_.push_back(std::move(call));
    return calls_.size() - 1;
  }
  void answered(std::size_t index, int status, bool written) {
    std::lock_guard<std::mutex> lock(mutex_);
    calls_[index].answered_at = now();
    calls_[index].status = status;
    calls_[index].written = written;
    calls_[index].over = true;
  }
  Call get(std::size_t index) {
    std::lock_guard<std::mutex> lock(mutex_);
    return calls_[index];
  }
  std::vector<Call> all() {
    std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
  }
  std::vector<Call> of(const std::string& id) {
    std::vector<Call> found;
    for (const Call& call : all()) {
      if (call.id == id)
        found.push_back(call);
    }
    return found;
  }
  // When the first line of an answer 200 was written; negative: never.
  double deliveredAt(const std::string& id) {
    for (const Call& call : of(id)) {
      if (call.written && call.status == 200)
        return call.answered_at;
    }
    return -1;
  }

 private:
  std::mutex mutex_;
  std::vector<Call> calls_;
  std::map<std::string, int> counts_;
};

class Endpoint {
 public:
  using Behave = std::function<Reply(const Call&)>;
  Endpoint(std::string name, int group, Calls& calls, Behave behave, std::string type = "partner",
           std::string zone = "a")
      : name_(std::move(name)),
        group_(group),
        type_(std::move(type)),
        zone_(std::move(zone)),
        calls_(calls),
        behave_(std::move(behave)),
        server_([this](int fd, int connection, const HttpRequest& request) {
          return serve(fd, connection, request);
        }) {}
  const std::string& name() const { return name_; }
  int port() const { return server_.port(); }
  HttpServer& server() { return server_; }
  json entry(const std::string& status = "Ready") const {
    return {{"name", name_},   {"address", server_.address()},
            {"zone", zone_},   {"type", type_},
            {"group", group_}, {"status", status},
            {"weight", 1.0},   {"since_ms", 0}};
  }
  bool quiet = false;

 private:
  bool serve(int fd, int connection, const HttpRequest& request) {
    Call call;
    call.endpoint = name_;
    call.id = request.field("X-Txn");
    call.key = request.field("Idempotency-Key");
    call.body = request.body;
    call.at = now();
    call.connection = connection;
    const std::size_t index = calls_.add(call);
    call = calls_.get(index);
    const Reply reply = behave_(call);
    if (!quiet) {
      record("endpoint %s: call %d of message %s, connection %d", name_.c_str(), call.number, call.id.c_str(),
             connection);
    }
    const double answer_at = now() + reply.delay_ms;
    while (now() < answer_at && !server_.stopped())
      sleepMs(std::min(5.0, answer_at - now()));
    if (!reply.bytes.empty()) {
      const bool open = !peerGone(fd);
      const bool written = sendAll(fd, reply.bytes) && open;
      const int status = std::atoi(reply.bytes.c_str() + 9);
      calls_.answered(index, status, written);
      if (!quiet) {
        record("endpoint %s: answer %d to message %s%s", name_.c_str(), status, call.id.c_str(),
               written ? "" : ", the connection was gone");
      }
    }
    if (reply.after == Reply::reset)
      resetConnection(fd);
    if (reply.after == Reply::silent) {
      while (!server_.stopped() && !peerGone(fd))
        sleepMs(20);
      return false;
    }
    return reply.after == Reply::keep;
  }

  const std::string name_;
  const int group_;
  const std::string type_, zone_;
  Calls& calls_;
  Behave behave_;
  HttpServer server_;
};

inline Reply answerAfter(double ms, const std::string& status = "200 OK", const std::string& fields = "") {
  Reply reply;
  reply.delay_ms = ms;
  reply.bytes = httpAnswer(status, fields);
  return reply;
}
inline Reply neverAnswer() {
  Reply reply;
  reply.after = Reply::silent;
  return reply;
}

struct Notice {
  double at = 0;
  std::string outcome;
};

// The platform: the list with watches, and notices.
class Platform {
 public:
  explicit Platform(const json& entries, int port = 0)
      : server_([this](int fd, int connection,
                       const HttpRequest& request) { return serve(fd, connection, request); },
                port) {
    for (const json& entry : entries)
      entries_[entry["name"]] = entry;
  }
  ~Platform() {
    stopping_ = true;
    changed_.notify_all();
  }
  std::string address() const { return server_.address(); }
  HttpServer& server() { return server_; }
  // Adds a new version with these changed entries.
  void change(const json& changed) {
    std::lock_guard<std::mutex> lock(mutex_);
    ++index_;
    for (const json& entry : changed) {
      changes_[entry["name"]] = {index_, entry};
      if (entry["status"] == "Gone") {
        entries_.erase(entry["name"]);
      } else {
        entries_[entry["name"]] = entry;
      }
    }
    changed_.notify_all();
  }
  json entries() {
    std::lock_guard<std::mutex> lock(mutex_);
    return wholeList();
  }
  std::vector<Notice> notices(const std::string& id) {
    std::lock_guard<std::mutex> lock(mutex_);
    return notices_[id];
  }
  std::size_t noticeCount() {
    std::lock_guard<std::mutex> lock(mutex_);
    return notices_.size();
  }
  // Discovery is down: its calls end with 503. Notices are answered all the same.
  std::atomic<bool> down{false};
  // Decides on the calls for notices of a connection: false leaves the call unread and unanswered.
  std::function<bool(int connection)> hears_notice = {};
  // Watches that are told nothing.
  std::function<bool(int connection)> hears_watch = {};
  std::atomic<int> list_calls{0};
  int indent = -1;  // of the lists; -1: they come on one line
  bool quiet = false;

 private:
  bool serve(int fd, int connection, const HttpRequest& request) {
    if (request.head.rfind("POST /v1/notices", 0) == 0)
      return takeNotices(fd, connection, request);
    ++list_calls;
    if (hears_watch && !hears_watch(connection))
      return holdSilent(fd);
    if (down)
      return sendAll(fd, httpAnswer("503 Down"));
    long from = -1;
    double hold = 0;
    const std::size_t at = request.head.find("from=");
    if (at != std::string::npos)
      from = std::atol(request.head.c_str() + at + 5);
    const std::size_t hold_at = request.head.find("hold_ms=");
    if (hold_at != std::string::npos)
      hold = std::atof(request.head.c_str() + hold_at + 8);
    std::unique_lock<std::mutex> lock(mutex_);
    const double until = now() + std::min(hold, 60000.0);
    while (from >= index_ && now() < until && !stopping_ && !down) {
      changed_.wait_for(lock, std::chrono::milliseconds(20));
      if (peerGone(fd))
        return false;
    }
    if (stopping_ || down)
      return false;
    json answer{{"index", index_}, {"snapshot", from < 0}};
    if (from < 0) {
      answer["endpoints"] = wholeList();
    } else {
      answer["endpoints"] = json::array();
      for (const auto& [name, change] : changes_) {
        if (change.first > from)
          answer["endpoints"].push_back(change.second);
      }
    }
    lock.unlock();
    return sendAll(fd, httpAnswer("200 OK", "", answer.dump(indent)));
  }
  json wholeList() const {
    json list = json::array();
    for (const auto& [name, entry] : entries_)
      list.push_back(entry);
    return list;
  }
  bool holdSilent(int fd) {
    while (!stopping_ && !peerGone(fd))
      sleepMs(20);
    return false;
  }
  bool takeNotices(int fd, int connection, const HttpRequest& request) {
    if (hears_notice && !hears_notice(connection))
      return holdSilent(fd);
    std::istringstream lines(request.body);
    for (std::string line; std::getline(lines, line);) {
      const json notice = json::parse(line, nullptr, false);
      if (notice.is_discarded() || !notice.contains("message"))
        return sendAll(fd, httpAnswer("400 Bad"));
      std::lock_guard<std::mutex> lock(mutex_);
      notices_[notice["message"]].push_back({now(), notice["outcome"]});
      if (!quiet) {
        record("platform: notice %s for message %s", notice["outcome"].get<std::string>().c_str(),
               notice["message"].get<std::string>().c_str());
      }
    }
    return sendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n");
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, json> entries_;
  long index_ = 41;
  std::map<std::string, std::pair<long, json>> changes_;
  std::map<std::string, std::vector<Notice>> notices_;
  std::atomic<bool> stopping_{false};
  HttpServer server_;
};

// The settings of a small deployment, in the form of the wire page.
inline json messageClass(const std::string& name, const std::string& effect, double aim, double deadline,
                         double window, double worth) {
  return {{"Name", name},           {"Idempotency", effect},  {"AimMs", aim},
          {"DeadlineMs", deadline}, {"Group", "all"},         {"LateWorth", 0.3},
          {"Stream", false},        {"MemorySpanMs", window}, {"Worth", worth}};
}
inline json smallSettings() {
  return {{"Azs", {"a", "b"}},
          {"Balancers", 2},
          {"Categories",
           {messageClass("event-notice", "deduplicated", 4000, 16000, 10000, 1),
            messageClass("position-update", "idempotent", 3000, 24000, 5000, 3),
            messageClass("device-charge", "at_most_once", 2000, 28000, 5000, 4)}},
          {"Ceilings",
           {{"ConnIdleMs", 10000.0},
            {"CpuUsPerS", 100000},
            {"DialTimeoutMs", 1500.0},
            {"MaxAttempts", 12},
            {"MaxOpen", 139},
            {"MaxRetryAfterMs", 2000.0},
            {"MayCancel", true},
            {"ParallelTries", true},
            {"RetryAfter", true}}},
          {"Discovery", "ask"},
          {"Domain",
           {{"CallSlots", 13},
            {"Late", "line"},
            {"PerCall", {1, 1}},
            {"RoutesApart", {false, true}},
            {"ZoneFee", {0.0, 0.0}}}},
          {"Family", "deliver"},
          {"Kinds", {"partner", "routes"}},
          {"Locality", "a"},
          {"OverShareWorth", 0.1},
          {"Position", 0},
          {"Rules",
           {{"AnswerSlackMs", 20.0},
            {"AskWithinMs", 10000.0},
            {"ColdShare", 0.18},
            {"DrainGraceMs", 1000.0},
            {"FallMs", 3000.0},
            {"OverloadFactor", 2.0},
            {"RampTimeMs", 12000.0}}},
          {"Stats", {{"Fields", json::array()}, {"How", "silent"}}},
          {"Tenants", {{{"Name", "wadi-main"}, {"QuotaRps", 50.0}, {"Share", 1.0}}}},
          {"TickMs", 5.0},
          {"ValueBy", "request"},
          {"WeightKind", "silent"}};
}

inline std::string makeFolder() {
  const char* base = std::getenv("TMPDIR");
  std::string pattern = std::string(base && *base ? base : "/tmp") + "/review-XXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr)
    cannotRun("no temporary folder");
  return pattern;
}

// The real sender, started with the deploy file's `run` (in $RUN) from the repository's root (in $ROOT).
class Sender {
 public:
  Sender(json settings, json known_entries, std::string discovery, bool pass_socket = false,
         json limits = {{"cores", 1.0}, {"memory_mb", 48}, {"sockets", 384}, {"disk_mb", 3}})
      : folder_(makeFolder()), discovery_(std::move(discovery)) {
    ::mkdir((folder_ + "/state").c_str(), 0700);
    ::mkdir((folder_ + "/tmp").c_str(), 0700);
    if (pass_socket) {
      passed_ = listenOn(0);
      port_ = portOf(passed_);
    } else {
      port_ = freePort();
    }
    config_ = {{"name", "n0"},
               {"listen", addressOf(port_)},
               {"seed", "8c1f30d27a5be964"},
               {"limits", std::move(limits)},
               {"known", {{"index", 41}, {"snapshot", true}, {"endpoints", std::move(known_entries)}}},
               {"settings", std::move(settings)}};
  }
  ~Sender() {
    for (const pid_t pid : pids_) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    if (std::getenv("KEEP") == nullptr) {
      const std::string command = "rm -rf '" + folder_ + "'";
      if (std::system(command.c_str()) != 0)
        record("the temporary folder was not removed");
    }
  }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  // Makes an earlier process the current one again.
  void adopt(pid_t pid, int control_port) {
    pid_ = pid;
    control_port_ = control_port;
  }
  int controlPort() const { return control_port_; }
  const std::string& folder() const { return folder_; }
  void writeConfig() {
    config_["discovery"] = discovery_;
    std::ofstream(folder_ + "/config.json.new") << config_.dump();
    ::rename((folder_ + "/config.json.new").c_str(), (folder_ + "/config.json").c_str());
  }
  void setDiscovery(const std::string& address) { discovery_ = address; }
  json& config() { return config_; }

  // Starts a process and returns its id, without waiting. It becomes the current one.
  pid_t spawn() {
    writeConfig();
    control_port_ = freePort();
    const char* root = std::getenv("ROOT");
    const char* run = std::getenv("RUN");
    if (root == nullptr || run == nullptr)
      cannotRun("ROOT or RUN is not set");
    std::vector<std::string> environment = {"GW_NAME=n0",
                                            "GW_LISTEN=" + addressOf(port_),
                                            "GW_DISCOVERY=" + discovery_,
                                            "GW_STATE=" + folder_ + "/state",
                                            "GW_CONFIG=" + folder_ + "/config.json",
                                            "GW_CONTROL=" + addressOf(control_port_),
                                            "TMPDIR=" + folder_ + "/tmp",
                                            "PATH=/usr/bin:/bin"};
    if (passed_ >= 0)
      environment.push_back("GW_PASSED_SOCKET=5");
    std::vector<char*> pointers;
    for (std::string& entry : environment)
      pointers.push_back(entry.data());
    pointers.push_back(nullptr);
    const std::string log = folder_ + "/log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (passed_ >= 0) {
        const int copy = ::fcntl(passed_, F_DUPFD, 20);
        ::dup2(copy, 5);
        ::close(copy);
      }
      if (::chdir(root) != 0)
        ::_exit(126);
      ::execle("/bin/sh", "sh", "-c", run, static_cast<char*>(nullptr), pointers.data());
      ::_exit(127);
    }
    pid_ = pid;
    pids_.insert(pid);
    return pid;
  }
  // Starts a process and waits until it says that it is ready and answers PING.
  bool start(double limit_ms = 10000) {
    spawn();
    return awaitReady(limit_ms);
  }
  bool awaitReady(double limit_ms = 10000) {
    const double until = now() + limit_ms;
    while (now() < until) {
      if (command("READY").rfind("OK", 0) == 0 && ping()) {
        ready_at_ = now();
        return true;
      }
      sleepMs(5);
    }
    return false;
  }
  double readyAt() const { return ready_at_; }
  std::string command(const std::string& line) { return commandAt(control_port_, line); }
  static std::string commandAt(int port, const std::string& line) {
    const int fd = connectTo(port, 300);
    if (fd < 0)
      return "";
    std::string reply;
    if (sendAll(fd, line + "\n")) {
      char buffer[256];
      pollfd entry{fd, POLLIN, 0};
      while (reply.find('\n') == std::string::npos && ::poll(&entry, 1, 1000) == 1) {
        const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0)
          break;
        reply.append(buffer, static_cast<std::size_t>(count));
      }
    }
    ::close(fd);
    return reply.substr(0, reply.find('\n'));
  }
  bool ping() {
    const int fd = connectTo(port_, 300);
    if (fd < 0)
      return false;
    std::string reply;
    if (sendAll(fd, "*1\r\n$4\r\nPING\r\n")) {
      char buffer[256];
      pollfd entry{fd, POLLIN, 0};
      while (reply.find("\r\n") == std::string::npos && ::poll(&entry, 1, 500) == 1) {
        const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0)
          break;
        reply.append(buffer, static_cast<std::size_t>(count));
      }
    }
    ::close(fd);
    return reply.rfind("+PONG", 0) == 0;
  }
  void signalTo(pid_t pid, int number) { ::kill(pid, number); }
  void signal(int number) { ::kill(pid_, number); }
  // Waits until a process has ended; returns false at the limit. `status` as of waitpid.
  bool awaitExit(pid_t pid, double limit_ms, int* status = nullptr) {
    const double until = now() + limit_ms;
    int value = 0;
    while (::waitpid(pid, &value, WNOHANG) != pid) {
      if (now() >= until)
        return false;
      sleepMs(2);
    }
    if (status != nullptr)
      *status = value;
    pids_.erase(pid);
    return true;
  }
  void killNow() {
    ::kill(pid_, SIGKILL);
    awaitExit(pid_, 5000);
  }
  bool running(pid_t pid) {
    int value = 0;
    if (pids_.count(pid) == 0)
      return false;
    if (::waitpid(pid, &value, WNOHANG) == pid) {
      pids_.erase(pid);
      record("process %d has ended, status %d", static_cast<int>(pid), value);
      return false;
    }
    return true;
  }
  std::string log() const {
    std::ifstream file(folder_ + "/log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  std::string folder_, discovery_;
  json config_;
  int passed_ = -1;
  int port_ = 0;
  int control_port_ = 0;
  pid_t pid_ = -1;
  std::set<pid_t> pids_;
  double ready_at_ = 0;
};

// A message as a client hands it in.
struct Message {
  std::string id, message_class, key, body;
  double time_ms = 8000;
  int destination = 7;
  double sent_at = 0;  // when its last byte was written
  std::string answer;  // empty: none within 400 ms
  double answered_at = -1;
  bool taken() const { return !answer.empty() && (answer[0] == '+' || answer[0] == '$'); }
  double due() const { return sent_at + time_ms; }
};

inline std::string newId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard<std::mutex> lock(mutex);
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}
inline std::string bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}
inline std::string requestBytes(const Message& message) {
  std::string fields =
      "c=" + message.message_class + ",t=wadi-main,d=" + std::to_string(static_cast<long>(message.time_ms));
  if (!message.key.empty())
    fields += ",k=" + message.key;
  fields += ",dest=" + std::to_string(message.destination);
  return "*5\r\n" + bulk("MSG.PUT") + bulk("0000000000000000") + bulk(message.id) + bulk(fields) +
         bulk(message.body);
}
inline Message newMessage(const std::string& message_class, double time_ms, int destination) {
  Message message;
  message.id = newId();
  message.message_class = message_class;
  message.time_ms = time_ms;
  message.destination = destination;
  message.body = "body-of-" + message.id;
  if (message_class == "event-notice")
    message.key = newId();
  return message;
}

// A client with one connection that it keeps. It waits 400 ms for an answer, then it closes the connection.
// If the sender closes the connection with nothing sent for the request, it sends the request once more on a
// new connection.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { close(); }
  void close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  // Hands the message in. Returns whether it was taken on.
  bool handIn(Message& message) {
    const bool was_open = fd_ >= 0;
    bool closed_unanswered = attempt(message);
    if (closed_unanswered && was_open)
      attempt(message);
    return message.taken();
  }

 private:
  // Returns true if the connection ended with no answer.
  bool attempt(Message& message) {
    if (fd_ < 0)
      fd_ = connectTo(port_, 400);
    if (fd_ < 0)
      return false;
    const bool sent = sendAll(fd_, requestBytes(message));
    message.sent_at = now();
    const double until = now() + 400;
    std::string reply;
    while (sent && reply.find("\r\n") == std::string::npos) {
      pollfd entry{fd_, POLLIN, 0};
      const double left = until - now();
      if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left) + 1) != 1) {
        close();
        return false;
      }
      char buffer[512];
      const ssize_t count = ::recv(fd_, buffer, sizeof buffer, 0);
      if (count <= 0) {
        close();
        return reply.empty();
      }
      reply.append(buffer, static_cast<std::size_t>(count));
    }
    if (!sent) {
      close();
      return true;
    }
    message.answer = reply.substr(0, reply.find("\r\n"));
    message.answered_at = now();
    return false;
  }

  const int port_;
  int fd_ = -1;
};

}  // namespace rv
