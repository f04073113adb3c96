// A peer sends a copy of a request whose message was taken on and delivered before, with something behind it
// that is no request. The message is of a class that may not be repeated: the endpoint must not get it again.
#include "harness.h"

using namespace rv;

int main() {
  Calls calls;
  Endpoint endpoint("e1", 7, calls, [](const Call&) { return answerAfter(60); });
  const json list = json::array({endpoint.entry()});
  Platform platform(list);
  Sender sender(smallSettings(), list, platform.address());
  if (!sender.start())
    cannotRun("the sender does not get ready");

  std::vector<Message> messages;
  Client client(sender.port());
  for (int i = 0; i < 5; ++i) {
    messages.push_back(newMessage("device-charge", 28000, 7));
    if (!client.handIn(messages.back()))
      cannotRun("a message was not taken on: " + messages.back().answer);
    record("client: message %s, answer %s", messages.back().id.c_str(), messages.back().answer.c_str());
    sleepMs(200);
  }
  sleepMs(1000);
  for (const Message& message : messages) {
    if (calls.deliveredAt(message.id) < 0 || calls.of(message.id).size() != 1) {
      cannotRun("a message was not delivered by its only call");
    }
  }

  if (withTrouble()) {
    for (const Message& message : messages) {
      const int fd = connectTo(sender.port());
      if (fd < 0)
        cannotRun("the peer can't connect");
      sendAll(fd, requestBytes(message) + "no request\r\n");
      record("peer: a copy of message %s, and what is no request", message.id.c_str());
      std::string answer;
      char buffer[512];
      pollfd entry{fd, POLLIN, 0};
      const double until = now() + 1000;
      while (now() < until && ::poll(&entry, 1, 100) >= 0) {
        const ssize_t count = entry.revents != 0 ? ::recv(fd, buffer, sizeof buffer, 0) : -1;
        if (count == 0)
          break;
        if (count > 0)
          answer.append(buffer, static_cast<std::size_t>(count));
      }
      for (char& c : answer)
        c = c == '\r' || c == '\n' ? ' ' : c;
      record("peer: got \"%s\"", answer.c_str());
      ::close(fd);
    }
  }
  sleepMs(3000);

  int broken = 0;
  for (const Message& message : messages) {
    const double delivered_at = calls.deliveredAt(message.id);
    for (const Call& call : calls.of(message.id)) {
      if (call.at > delivered_at) {
        ++broken;
        record("BROKEN: message %s was delivered at %.1f, and called again at %.1f", message.id.c_str(),
               delivered_at, call.at);
      }
    }
  }
  record("result: %d of %zu messages that may not be repeated were sent again after they were delivered",
         broken, messages.size());
  return broken > 0 ? 1 : 0;
}
