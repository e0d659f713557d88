#pragma once

#include <string>
#include <vector>

namespace hawthornwheel::testing {

/// Accepts TCP connections on loopback. The test itself decides when bytes are
/// read and written and when a connection ends.
class ManualServer {
 public:
  /// `backlog` is the number of connections that the kernel accepts ahead.
  explicit ManualServer(int backlog = 16);
  ~ManualServer();
  ManualServer(const ManualServer&) = delete;
  ManualServer& operator=(const ManualServer&) = delete;

  /// Returns `127.0.0.1:port`.
  std::string Address() const;

  /// Opens connections to itself until the kernel accepts no more, so that
  /// those of others stay in the state of opening.
  void FillBacklog();

  /// Runs the main loop until a connection arrives and returns its number,
  /// counted from 0.
  int Accept();

  /// Accepts all connections that have arrived and returns their number.
  int AcceptAll();

  /// Returns the bytes that have arrived on a connection.
  std::string Read(int connection) const;

  /// Runs the main loop until bytes arrive on a connection and returns them.
  std::string WaitForBytes(int connection) const;

  /// Returns all bytes that have arrived on connections not read before.
  std::string ReadAll() const;

  void Write(int connection, const std::string& bytes) const;

  /// Ends a connection in order, or with a reset.
  void Close(int connection);
  void Reset(int connection);

 private:
  int TryAccept();

  int listener = -1;
  std::vector<int> connections;
  std::vector<int> fillers;
};

}  // namespace hawthornwheel::testing
