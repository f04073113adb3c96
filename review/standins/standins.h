// Stand-ins for the cases in review/: the platform with its discovery, endpoints, clients and the program
// itself as a child process. They use loopback addresses and free ports only, and follow PROTOCOL, DEPLOY and
// TERMS. Everything that is sent, answered and run goes into a record.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using nlohmann::json;

// ---- Time and record

// Seconds since the first call, on the monotonic clock.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

// Prints one line of the record, with the time, to the file and to standard output.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  double line(const std::string& text, bool echo = false) {
    const double at = now();
    char time[32];
    std::snprintf(time, sizeof time, "%9.4f ", at);
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << time << text << '\n' << std::flush;
    if (echo) {
      std::cout << time << text << std::endl;
    }
    return at;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// The script could not play the case: exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline bool troubleIsOn() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- Sockets

inline sockaddr_in loopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int localPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline std::string addressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A listening socket on a free port.
inline int listenOnFreePort(int backlog = 512) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopbackAddress(0);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, backlog) != 0) {
    throw CannotRun("no free port");
  }
  return fd;
}

// A free port for the program to listen on, below the ports that the system gives to connections, so that no
// connection takes it while the program is down.
inline int freePort() {
  static std::mt19937 random(std::random_device{}());
  for (int attempt = 0; attempt < 1000; ++attempt) {
    const int port = std::uniform_int_distribution<int>(20000, 31999)(random);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    const bool is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (is_free) {
      return port;
    }
  }
  throw CannotRun("no free port");
}

inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline int connectTo(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopbackAddress(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// Whether the peer has neither closed nor reset the connection.
inline bool isOpen(int fd) {
  char byte = 0;
  const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// ---- HTTP

struct HttpRequest {
  std::string first_line;
  std::string head;
  std::string body;
  double completed_at = 0;  // when its last byte was read

  // The value of a header field; empty if there is none.
  std::string field(const std::string& name) const {
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
      const std::size_t colon = line.find(':');
      if (colon != name.size() || ::strncasecmp(line.c_str(), name.c_str(), colon) != 0) {
        continue;
      }
      std::string value = line.substr(colon + 1);
      while (!value.empty() && std::isspace(static_cast<unsigned char>(value.back())))
        value.pop_back();
      while (!value.empty() && std::isspace(static_cast<unsigned char>(value.front())))
        value.erase(0, 1);
      return value;
    }
    return "";
  }
};

inline std::string httpAnswer(const std::string& status, const std::string& body = "",
                              const std::string& fields = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// An HTTP server on a free port, with a thread for each connection. The handler answers one request on the
// connection; if it returns false, the connection is closed.
class HttpServer {
 public:
  using Handler = std::function<bool(int fd, const HttpRequest& request)>;

  explicit HttpServer(Handler handler) : handler_(std::move(handler)), listener_(listenOnFreePort()) {
    port_ = localPort(listener_);
    std::thread([this] { acceptAll(); }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return addressOf(port_); }

 private:
  void acceptAll() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        serve(fd);
        ::close(fd);
      }).detach();
    }
  }

  void serve(int fd) {
    std::string input;
    for (;;) {
      HttpRequest request;
      if (!readRequest(fd, input, request) || !handler_(fd, request)) {
        return;
      }
    }
  }

  static bool readRequest(int fd, std::string& input, HttpRequest& request) {
    std::size_t head_end = std::string::npos;
    std::size_t length = 0;
    for (;;) {
      if (head_end == std::string::npos) {
        head_end = input.find("\r\n\r\n");
        if (head_end != std::string::npos) {
          request.head = input.substr(0, head_end + 2);
          request.first_line = input.substr(0, input.find("\r\n"));
          length = std::strtoull(request.field("Content-Length").c_str(), nullptr, 10);
        }
      }
      if (head_end != std::string::npos && input.size() >= head_end + 4 + length) {
        request.body = input.substr(head_end + 4, length);
        input.erase(0, head_end + 4 + length);
        request.completed_at = now();
        return true;
      }
      char buffer[65536];
      const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0) {
        return false;
      }
      input.append(buffer, static_cast<std::size_t>(count));
    }
  }

  Handler handler_;
  int listener_;
  int port_ = 0;
};

// ---- The platform

// Discovery with its list and watches, and the receiver of notices.
class Discovery {
 public:
  explicit Discovery(Record& record)
      : record_(record),
        server_([this](int fd, const HttpRequest& request) { return answer(fd, request); }) {}

  std::string address() const { return server_.address(); }

  void publish(json endpoints) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++index_;
    endpoints_ = std::move(endpoints);
    changed_.notify_all();
  }

  json list() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return {{"index", index_}, {"snapshot", true}, {"endpoints", endpoints_}};
  }

  // When the first notice for the message came; negative: none did.
  double noticeAt(const std::string& message) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = notices_.find(message);
    return found == notices_.end() ? -1 : found->second;
  }

 private:
  bool answer(int fd, const HttpRequest& request) {
    if (request.first_line.rfind("POST /v1/notices ", 0) == 0) {
      return answerNotices(fd, request);
    }
    return answerList(fd, request);
  }

  bool answerNotices(int fd, const HttpRequest& request) {
    std::istringstream lines(request.body);
    std::vector<std::string> ids;
    for (std::string line; std::getline(lines, line);) {
      const json notice = json::parse(line, nullptr, false);
      if (!notice.is_object() || !notice.contains("message")) {
        return sendAll(fd, httpAnswer("400 Bad Request"));
      }
      const std::string id = notice["message"];
      record_.line("platform: notice " + line.substr(0, 120));
      const std::lock_guard<std::mutex> lock(mutex_);
      notices_.emplace(id, now());
    }
    return sendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n");
  }

  bool answerList(int fd, const HttpRequest& request) {
    const std::size_t from_at = request.first_line.find("from=");
    const std::size_t hold_at = request.first_line.find("hold_ms=");
    const long from = from_at == std::string::npos ? -1 : std::atol(request.first_line.c_str() + from_at + 5);
    const long hold = hold_at == std::string::npos ? 0 : std::atol(request.first_line.c_str() + hold_at + 8);
    std::unique_lock<std::mutex> lock(mutex_);
    if (from >= 0) {
      changed_.wait_for(lock, std::chrono::milliseconds(hold), [&] { return index_ > from; });
    }
    json body{{"index", index_}, {"snapshot", from < 0 || index_ > from}, {"endpoints", json::array()}};
    if (body["snapshot"]) {
      body["endpoints"] = endpoints_;
    }
    lock.unlock();
    return sendAll(fd, httpAnswer("200 OK", body.dump()));
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, double> notices_;
  json endpoints_ = json::array();
  long index_ = 1;
  HttpServer server_;
};

inline json endpointEntry(const std::string& name, const std::string& address, int group) {
  return {{"name", name},   {"address", address}, {"zone", "north"}, {"type", "partner"},
          {"group", group}, {"status", "Ready"},  {"weight", 1.0},   {"since_ms", 0}};
}

// The settings of a small deployment: one class of each effect, few slots, a small buffer.
inline json smallSettings() {
  const auto message_class = [](const char* name, const char* effect, double aim, double deadline,
                                double window) {
    return json{{"Name", name},     {"AimMs", aim},    {"DeadlineMs", deadline},
                {"Group", "all"},   {"Worth", 1.0},    {"Idempotency", effect},
                {"LateWorth", 0.3}, {"Stream", false}, {"MemorySpanMs", window}};
  };
  return {{"Azs", {"north"}},
          {"Balancers", 2},
          {"Categories",
           {message_class("report", "deduplicated", 4000, 16000, 10000),
            message_class("position", "idempotent", 3000, 24000, 5000),
            message_class("charge", "at_most_once", 2000, 28000, 5000)}},
          {"Ceilings",
           {{"ConnIdleMs", 10000.0},
            {"DialTimeoutMs", 1500.0},
            {"MaxAttempts", 12},
            {"MaxOpen", 140},
            {"MaxRetryAfterMs", 2000.0},
            {"MayCancel", true},
            {"Multiplex", 1},
            {"ParallelTries", true},
            {"RetryAfter", true}}},
          {"Discovery", "ask"},
          {"Domain", {{"CallSlots", 13}, {"Late", "line"}, {"PerCall", {1}}, {"RoutesApart", {false}}}},
          {"Kinds", {"partner"}},
          {"OverShareWorth", 0.1},
          {"Rules",
           {{"AnswerSlackMs", 20.0},
            {"AskWithinMs", 10000.0},
            {"ColdShare", 0.18},
            {"DrainGraceMs", 1000.0},
            {"FallMs", 3000.0},
            {"OverloadFactor", 2.0},
            {"RampTimeMs", 12000.0}}},
          {"Stats", {{"Fields", json::array()}, {"How", "silent"}}},
          {"Tenants", {{{"Name", "main"}, {"QuotaRps", 50.0}, {"Share", 1.0}}}},
          {"TickMs", 5.0},
          {"WeightKind", "silent"}};
}

// ---- The program

// The sender, started with `run` of the deploy file. run.sh passes the repository's root in ROOT, the command
// in RUN and an empty folder in WORK.
class Sender {
 public:
  Sender(Record& record, const Discovery& discovery, int memory_mb = 192)
      : record_(record),
        listen_port_(freePort()),
        control_port_(otherFreePort(listen_port_)),
        memory_mb_(memory_mb) {
    root_ = environment("ROOT");
    run_ = environment("RUN");
    work_ = environment("WORK");
    config_ = {{"name", "n1"},
               {"listen", addressOf(listen_port_)},
               {"discovery", discovery.address()},
               {"control", addressOf(control_port_)},
               {"seed", "8c1f30d27a5be964"},
               {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", 1024}, {"disk_mb", 3}}},
               {"settings", smallSettings()}};
    ::mkdir((work_ + "/state").c_str(), 0755);
  }
  ~Sender() { kill(); }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;

  json& config() { return config_; }
  int port() const { return listen_port_; }
  int memoryLimitMb() const { return memory_mb_; }
  pid_t pid() const { return pid_; }

  // Starts the program. Does not wait until it serves.
  void start() {
    const std::string config_path = work_ + "/config.json";
    std::ofstream(config_path) << config_.dump();
    const std::string scratch = work_ + "/tmp" + std::to_string(++starts_);
    ::mkdir(scratch.c_str(), 0755);
    const std::string log = work_ + "/sender.log";
    // All that allocates memory is done before the fork, as this process has threads.
    std::vector<std::string> variables = {"GW_NAME=n1",
                                          "GW_LISTEN=" + addressOf(listen_port_),
                                          "GW_DISCOVERY=" + config_["discovery"].get<std::string>(),
                                          "GW_CONTROL=" + addressOf(control_port_),
                                          "GW_CONFIG=" + config_path,
                                          "GW_STATE=" + work_ + "/state",
                                          "TMPDIR=" + scratch};
    if (const char* search_path = std::getenv("PATH")) {
      variables.push_back(std::string("PATH=") + search_path);
    }
    std::vector<char*> environment;
    for (std::string& variable : variables) {
      environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const char* arguments[] = {"sh", "-c", run_.c_str(), nullptr};
    const pid_t pid = ::fork();
    if (pid < 0) {
      throw CannotRun("fork failed");
    }
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log_fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log_fd, STDOUT_FILENO);
      ::dup2(log_fd, STDERR_FILENO);
      if (::chdir(root_.c_str()) != 0) {
        ::_exit(127);
      }
      ::execve("/bin/sh", const_cast<char**>(arguments), environment.data());
      ::_exit(127);
    }
    pid_ = pid;
    record_.line("platform: started the sender, start " + std::to_string(starts_), true);
  }

  // Waits until PING gets +PONG. Returns false if that takes longer or the process ends.
  bool waitUntilReady(double limit) {
    const double until = now() + limit;
    while (now() < until) {
      if (!isRunning()) {
        return false;
      }
      if (answersPing(0.3)) {
        record_.line("platform: the sender answers PING with +PONG", true);
        return true;
      }
      sleepFor(0.02);
    }
    return false;
  }

  bool answersPing(double limit) const {
    const int fd = connectTo(listen_port_);
    if (fd < 0) {
      return false;
    }
    sendAll(fd, "*1\r\n$4\r\nPING\r\n");
    const bool answered = readLine(fd, limit) == "+PONG";
    ::close(fd);
    return answered;
  }

  static std::string readLine(int fd, double limit) {
    std::string line;
    const double until = now() + limit;
    while (now() < until) {
      pollfd readable{fd, POLLIN, 0};
      if (::poll(&readable, 1, static_cast<int>((until - now()) * 1000) + 1) <= 0) {
        break;
      }
      char byte = 0;
      if (::recv(fd, &byte, 1, 0) <= 0) {
        break;
      }
      if (byte == '\n') {
        if (!line.empty() && line.back() == '\r')
          line.pop_back();
        return line;
      }
      line += byte;
    }
    return "";
  }

  // False once the process has ended; exitText() then says how.
  bool isRunning() {
    if (pid_ <= 0) {
      return false;
    }
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) {
      return true;
    }
    ended(status);
    return false;
  }
  const std::string& exitText() const { return exit_text_; }

  void signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  void kill() {
    if (pid_ <= 0) {
      return;
    }
    signal(SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    ended(status);
  }

  // The resident memory in MB, as the platform sees it.
  double memoryMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }

  // The last line that the program logged.
  std::string lastLogLine() const {
    std::ifstream log(work_ + "/sender.log");
    std::string last;
    for (std::string line; std::getline(log, line);) {
      last = line;
    }
    return last.substr(0, 300);
  }

 private:
  static int otherFreePort(int taken) {
    int port = freePort();
    while (port == taken) {
      port = freePort();
    }
    return port;
  }

  static std::string environment(const char* name) {
    const char* value = std::getenv(name);
    if (value == nullptr) {
      throw CannotRun(std::string(name) + " is not set: start the case with its run.sh");
    }
    return value;
  }

  void ended(int status) {
    pid_ = -1;
    exit_text_ = WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                                     : "exited with code " + std::to_string(WEXITSTATUS(status));
    record_.line("platform: the sender " + exit_text_, true);
  }

  Record& record_;
  int listen_port_;
  int control_port_;
  int memory_mb_;
  std::string root_;
  std::string run_;
  std::string work_;
  json config_;
  int starts_ = 0;
  pid_t pid_ = -1;
  std::string exit_text_;
};

// ---- Clients

inline std::string newId() {
  static std::mt19937_64 random(std::random_device{}());
  static std::mutex mutex;
  const std::lock_guard<std::mutex> lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

inline std::string respArray(const std::vector<std::string>& words) {
  std::string bytes = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) {
    bytes += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  }
  return bytes;
}

// MSG.PUT of a message without an order key.
inline std::string putRequest(const std::string& id, const std::string& message_class, long ms,
                              int destination, const std::string& body) {
  std::string list = "c=" + message_class + ",t=main,d=" + std::to_string(ms);
  if (message_class == "report") {
    list += ",k=" + id;
  }
  return respArray({"MSG.PUT", "0000000000000000", id, list + ",dest=" + std::to_string(destination), body});
}

// A message as its client knows it.
struct Message {
  std::string id;
  std::string message_class;
  double sent_at = 0;
  double expires_at = 0;
  double accepted_at = -1;  // when its client read +OK
  std::string answer;       // the first line; empty: none
};

// Hands in one message on a connection of its own and waits 400 ms for the answer, as a client does.
inline Message handIn(Record& record, int port, const std::string& message_class, long ms, int destination) {
  Message message;
  message.id = newId();
  message.message_class = message_class;
  message.sent_at = now();
  message.expires_at = message.sent_at + static_cast<double>(ms) / 1000;
  const int fd = connectTo(port);
  if (fd < 0) {
    record.line("client: connection refused for " + message.id);
    return message;
  }
  sendAll(fd, putRequest(message.id, message_class, ms, destination, "body of " + message.id));
  message.answer = Sender::readLine(fd, 0.4);
  ::close(fd);
  if (message.answer == "+OK") {
    message.accepted_at = now();
  }
  record.line("client: " + message.id + " c=" + message_class + " dest=" + std::to_string(destination) +
              " -> " + (message.answer.empty() ? "no answer" : message.answer));
  return message;
}

// Runs a case and ends with its exit code, without waiting for the threads of the stand-ins.
inline int runCase(const std::function<int(Record&)>& play) {
  now();
  ::signal(SIGPIPE, SIG_IGN);
  const char* path = std::getenv("RECORD");
  Record record(path == nullptr ? "record.txt" : path);
  int code = kCouldNotRun;
  try {
    record.line(std::string("trouble: ") + (troubleIsOn() ? "on" : "off"), true);
    code = play(record);
  } catch (const std::exception& error) {
    record.line(std::string("could not run: ") + error.what(), true);
  }
  record.line(code == kHeld     ? "verdict: the rule held"
              : code == kBroken ? "verdict: the rule was broken"
                                : "verdict: could not run",
              true);
  std::cout.flush();
  return code;
}

}  // namespace review
