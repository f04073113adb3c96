// Discovery; see discovery_client.h.
#include "network/discovery_client.h"

#include <iostream>

namespace delivery {

namespace asio = boost::asio;

namespace {

constexpr Micros kHold = 20'000'000;    // how long a watch call may wait for news
constexpr Micros kSilence = 1'500'000;  // an answer that is later than its wait by this won't come
constexpr Micros kConnect = 1'000'000;  // the agent is on this machine
// After a call that failed: twice as long each time, within half and one and a half of it by chance, so that
// a fleet does not come back as one. EndpointListUpdate counts as told after 6 s at the latest, so it stays
// below.
constexpr Micros kPause = 100'000, kLongestPause = 3'200'000;
constexpr Micros kNoticeLimit = 500'000;  // for an answer that comes at once
constexpr Micros kNoticePause = 50'000;
constexpr std::size_t kListLimit = 8u << 20;

constexpr EnumWord<EndpointState> kEndpointStateWords[] = {
    {"Ready", EndpointState::ready},
    {"Terminating", EndpointState::draining},
    {"Gone", EndpointState::removed},
};

EndpointState stateOf(const json& e) {
  return enumFromWord(readString(e, "status"), kEndpointStateWords, "status");
}

}  // namespace

EndpointList::EndpointListUpdate EndpointList::apply(const json& answer) {
  if (!answer.is_object())
    throw InvalidInput(InputProblem::wrong_type, "", "the list is not an object");
  const std::int64_t index = readInteger(answer, "index");
  const bool whole = readBoolean(answer, "snapshot", false);
  EndpointListUpdate news;
  news.kind = whole ? EndpointUpdateKind::full : EndpointUpdateKind::delta;
  std::map<std::string, json> changed;
  for (const json& e : readArray(answer, "endpoints")) {
    if (!e.is_object())
      throw InvalidInput(InputProblem::wrong_type, "endpoints", "an endpoint is not an object");
    ListedEndpoint l;
    l.endpoint.id = readString(e, "name");
    l.endpoint.zone = readString(e, "zone", "");
    l.endpoint.kind = readString(e, "type", "");
    l.endpoint.destination = readInteger(e, "group");
    l.endpoint.weight = readNumber(e, "weight", 0);
    l.endpoint.state = stateOf(e);
    l.address = readString(e, "address", "");
    changed[l.endpoint.id] = e;
    news.endpoints.push_back(std::move(l));
  }
  if (whole)
    entries_.clear();
  for (auto& [name, e] : changed) {
    if (e["status"] == "Gone")
      entries_.erase(name);
    else
      entries_[name] = std::move(e);
  }
  index_ = index;
  return news;
}

json EndpointList::toJson() const {
  json list = json::array();
  for (const auto& [name, e] : entries_)
    list.push_back(e);
  return {{"index", index_}, {"snapshot", true}, {"endpoints", std::move(list)}};
}

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint peer, std::string host)
    : io_(io), peer_(std::move(peer)), host_(std::move(host)), timer_(io) {}

void DiscoveryClient::ask(HttpRequest request, Micros limit, HttpConnection::Done done) {
  if (stopped_)
    return;
  if (!connection_ || !connection_->reusable())
    connection_ = std::make_unique<HttpConnection>(io_, peer_, host_, kListLimit);
  connection_->exchange(std::move(request), kConnect, Deadline::after(monotonicNow(), limit),
                        std::move(done));
}

void DiscoveryClient::later(Micros pause, std::function<void()> then) {
  connection_.reset();
  if (stopped_)
    return;
  timer_.expires_after(std::chrono::microseconds(pause));
  timer_.async_wait([then = std::move(then)](const boost::system::error_code& e) {
    if (!e)
      then();
  });
}

void DiscoveryClient::moveTo(tcp::endpoint peer, std::string host) {
  connection_.reset();
  timer_.cancel();
  peer_ = std::move(peer);
  host_ = std::move(host);
}

void DiscoveryClient::stop() {
  stopped_ = true;
  connection_.reset();
  timer_.cancel();
}

void EndpointWatch::changeServer(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  failures_ = 0;  // those of the old one say nothing of the new
  start(-1);
}

void EndpointWatch::start(std::int64_t from) {
  from_ = from;
  ask();
}

void EndpointWatch::ask() {
  HttpRequest r;
  r.method = "GET";
  r.target = "/v1/endpoints";
  if (from_ >= 0)
    r.target += "?from=" + std::to_string(from_) + "&hold_ms=" + std::to_string(kHold / 1000);
  const Micros limit = (from_ >= 0 ? kHold : 0) + kSilence;
  agent_.ask(std::move(r), limit, [this](const HttpAnswer& a) {
    if (a.completion != Exchanged::answered || a.status != 200 || !a.body_complete)
      return askLater();
    try {
      from_ = on_answer_(json::parse(a.body));
    } catch (const std::exception& e) {
      // Guards against one garbled answer ending the watch: the whole list is asked for afresh.
      std::cerr << "discovery: " << e.what() << '\n';
      from_ = -1;
      return askLater();
    }
    if (failures_ > 0)
      std::cerr << "discovery: answers again after " << failures_ << " failed calls\n";
    failures_ = 0;
    ask();
  });
}

// The last list stays in force meanwhile.
void EndpointWatch::askLater() {
  if (failures_++ == 0)
    std::cerr << "discovery: a call failed, asking again with growing pauses\n";
  const Micros pause = std::min(kLongestPause, kPause << std::min(failures_ - 1, 8));
  agent_.later(std::uniform_int_distribution<Micros>(pause / 2, pause * 3 / 2)(random_), [this] { ask(); });
}

void CompletionNotifier::enqueue(const std::string& id, const CompletionNotice& notice) {
  owed_.emplace_back(id, notice);
  if (out_ == 0 && !waiting_)
    send();
}

void CompletionNotifier::changeServer(tcp::endpoint peer, std::string host) {
  agent_.moveTo(std::move(peer), std::move(host));
  out_ = 0;  // told once more: that does no harm
  waiting_ = false;
  send();
}

void CompletionNotifier::send() {
  if (owed_.empty())
    return;
  out_ = std::min(owed_.size(), most_);
  HttpRequest r;
  r.method = "POST";
  r.target = "/v1/notices";
  r.fields.emplace_back("Content-Type", "application/json");
  for (std::size_t i = 0; i < out_; ++i) {
    json line{{"message", owed_[i].first},
              {"outcome", owed_[i].second.returned ? "handed_back" : "given_up"}};
    if (owed_[i].second.returned && owed_[i].second.retry_after_ms > 0)
      line["retry_in_ms"] = owed_[i].second.retry_after_ms;
    r.body += line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  }
  agent_.ask(std::move(r), kNoticeLimit, [this](const HttpAnswer& a) {
    const std::size_t told = out_;
    out_ = 0;
    const bool unreadable = a.completion == Exchanged::answered && a.status == 400;
    if (unreadable && told > 1) {  // one bad line must not hold up the others
      most_ = 1;
      return send();
    }
    if (unreadable)
      std::cerr << "notice that can't be read, of message " << owed_.front().first << '\n';
    if (!unreadable && (a.completion != Exchanged::answered || a.status / 100 != 2)) {
      waiting_ = true;
      return agent_.later(kNoticePause, [this] {
        waiting_ = false;
        send();
      });
    }
    for (std::size_t i = 0; i < told; ++i) {
      on_told_(owed_.front().first);
      owed_.pop_front();
    }
    if (owed_.empty())
      most_ = 64;
    send();
  });
}

}  // namespace delivery
