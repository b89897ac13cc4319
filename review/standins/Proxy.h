#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// The link between one process and one server. A cut link is silent in both
/// directions. It keeps what the open connections have sent, as the sender's
/// system does by sending it again, and delivers it after the cut, unless the
/// sender has reset its connection. Connections that are opened during a cut
/// carry nothing.
class Proxy
{
public:
  explicit Proxy(int aServerPort);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void SetCut(bool aIsCut) { isCut_ = aIsCut; }
  /// Ends all connections and refuses new ones, as a machine without the
  /// server's process does.
  void SetDown() { serverPort_ = 0; }
  /// Leads new connections to a server.
  void SetServer(int aPort) { serverPort_ = aPort; }
  [[nodiscard]] std::string Address() const;

private:
  void Accept();
  /// Carries what one side sends to the other, until it ends.
  void Pump(int aFrom, int aTo, int aServerPort);
  void Drain(int aClient);

  std::atomic<int> serverPort_;
  int listener_;
  int port_ = 0;
  std::atomic<bool> isCut_ = false;
  std::atomic<bool> isStopping_ = false;
  std::thread accepter_;
};

} // namespace review
