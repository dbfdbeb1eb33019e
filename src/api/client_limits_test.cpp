#include <gtest/gtest.h>

#include <cstdio>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using fakes::answer;
using fakes::kKitchensToken;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kCallPath =
    "/v1/departments/kitchens/services/planner/calls/book";
constexpr std::size_t kKiB = 1024;

std::string ChunkedHead() {
  return std::string("POST ") + kCallPath +
         " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + kKitchensToken +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(std::size_t size) {
  char length[16];
  std::snprintf(length, sizeof length, "%zx\r\n", size);
  return length + std::string(size, 'x') + "\r\n";
}

/// Sends a body of `size` bytes without its end, a little at a time, so that
/// the server has read nearly all of it afterwards.
void SendUnfinished(raw_client& client, std::size_t size) {
  client.Write(ChunkedHead());
  for (std::size_t sent = 0; sent < size; sent += 16 * kKiB) {
    client.Write(Chunk(16 * kKiB));
  }
}

// Guards against unfinished bodies that keep a new request out, and a refusal
// without its outcome or without a time to try again.
TEST(ClientLimitsTest, AnUnfinishedBodyGivesWayToANewerRequest) {
  test_cell cell({}, {}, {2'048 * kKiB, 512 * kKiB});
  raw_client old(cell.endpoint);
  SendUnfinished(old, 600 * kKiB);
  raw_client next(cell.endpoint);
  SendUnfinished(next, 600 * kKiB);
  const answer refusal = old.Read();
  EXPECT_EQ(refusal.status, 503u);
  EXPECT_EQ(refusal.headers.at("mangoplank-outcome"), "not_run");
  EXPECT_EQ(refusal.headers.at("retry-after"), "1");
  EXPECT_TRUE(old.IsClosed());
  raw_client ordinary(cell.endpoint);
  EXPECT_EQ(ordinary.Send("GET", "/healthz", "").status, 200u);
  next.Write("0\r\n\r\n");
  EXPECT_EQ(next.Read().headers.at("mangoplank-outcome"), "not_run");
  cell.RunOnCell([&] {
    EXPECT_TRUE(cell.runner.received.empty());
    EXPECT_LE(cell.budget.Usage().used, 0u);
  });
}

// Guards against a limit that a single request inside the limits meets in calm.
TEST(ClientLimitsTest, TheLargestBodyIsServedAlone) {
  for (const std::uint64_t mb : {16, 64, 160, 256}) {
    const auto shares = process::DivideMemory(mb * 1'000'000);
    server_limits limits;
    limits.max_body_bytes = shares.max_body_bytes;
    test_cell cell(limits, {}, shares.requests);
    raw_client client(cell.endpoint);
    const std::string body(shares.max_body_bytes, 'x');
    EXPECT_EQ(client
                  .Send("PUT", "/v1/departments/kitchens/services/planner",
                        kKitchensToken, body)
                  .status,
              400u)
        << mb;
    // The connection and its buffers are as before.
    EXPECT_EQ(client.Send("GET", "/healthz", "").status, 200u) << mb;
  }
}

// Guards against a client that extends the time for its body, or for its
// header, with a byte now and then.
TEST(ClientLimitsTest, BytesNowAndThenExtendNoDeadline) {
  server_limits limits;
  limits.header_timeout = limits.body_timeout = core::milliseconds(300);
  test_cell cell(limits);
  raw_client body(cell.endpoint);
  body.Write(ChunkedHead());
  raw_client header(cell.endpoint);
  header.Write("GET /healthz HTTP/1.1\r\nX: ");
  for (int i = 0; i < 40; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    body.Write("1\r\nx\r\n");
    header.Write("x");
  }
  EXPECT_EQ(body.Read().status, 408u);
  EXPECT_EQ(header.Read().status, 408u);
}

// Guards against clients that take all connections and stop amid a request, or
// read no answers.
TEST(ClientLimitsTest, AStalledClientGivesWayToANewerOne) {
  server_limits limits;
  limits.max_connections = 2;
  limits.stall_limit = core::milliseconds(50);
  test_cell cell(limits);
  raw_client header(cell.endpoint);
  header.Write("GET /healthz HTTP/1.1\r\n");
  raw_client body(cell.endpoint);
  SendUnfinished(body, 16 * kKiB);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  raw_client ordinary(cell.endpoint);
  EXPECT_EQ(ordinary.Send("GET", "/healthz", "").status, 200u);
  EXPECT_TRUE(header.IsClosed());
  raw_client next(cell.endpoint);
  const auto answer = next.Send("GET", "/healthz", "");
  EXPECT_EQ(answer.status, 200u) << answer.body;
}

// Guards against a refused client whose input is read without an end.
TEST(ClientLimitsTest, DiscardsABoundedNumberOfBytes) {
  server_limits limits;
  limits.linger_timeout = core::milliseconds(60'000);
  limits.max_linger_bytes = 64 * kKiB;
  test_cell cell(limits);
  raw_client client(cell.endpoint);
  client.Write("POST /healthz HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n");
  EXPECT_EQ(client.Read().status, 413u);
  const std::string piece(64 * kKiB, 'x');
  int sent = 0;
  while (sent < 1'000 && client.Write(piece)) ++sent;
  EXPECT_LT(sent, 1'000);
}

// Guards against many refused clients that stay until their time has passed.
TEST(ClientLimitsTest, FewConnectionsLinger) {
  server_limits limits;
  limits.linger_timeout = core::milliseconds(60'000);
  limits.max_lingering = 2;
  test_cell cell(limits);
  std::vector<std::unique_ptr<raw_client>> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(std::make_unique<raw_client>(cell.endpoint));
    clients.back()->Write(
        "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n");
    EXPECT_EQ(clients.back()->Read().status, 413u);
  }
  cell.RunOnCell([&] { EXPECT_LE(cell.http->ConnectionCount(), 3u); });
}

}  // namespace
}  // namespace mangoplank::api
