#include "base/log_sink.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <chrono>

#include "base/logger.h"
#include "support/manual_clock.h"

namespace hawthornwheel::testing {
namespace {

using std::chrono::seconds;

class LogSinkTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(pipe(this->ends.data()), 0); }
  void TearDown() override {
    close(this->ends[0]);
    close(this->ends[1]);
  }

  std::string ReadAll(base::LogSink& sink) {
    sink.Flush();
    std::string text;
    std::array<char, 4096> chunk{};
    for (;;) {
      const ssize_t size = read(this->ends[0], chunk.data(), chunk.size());
      if (size <= 0) return text;
      text.append(chunk.data(), static_cast<std::size_t>(size));
      if (size < static_cast<ssize_t>(chunk.size())) return text;
    }
  }

  // Returns the prefix of lines that are written at the current time.
  std::string TimePrefix() const {
    return "time_ms=" + std::to_string(this->clock.WallMilliseconds()) + " ";
  }

  ManualClock clock;
  std::array<int, 2> ends{};
};

TEST_F(LogSinkTest, LinesOverRateLimitAreDroppedAndReported) {
  base::LogSink sink(this->clock, this->ends[1], {1, 3});
  for (int i = 0; i < 10; ++i) sink.Write("line", false);
  EXPECT_EQ(sink.Dropped(), 7U);
  const std::string line = this->TimePrefix() + "line\n";
  EXPECT_EQ(this->ReadAll(sink), line + line + line);
  this->clock.Advance(seconds(2));
  sink.Write("next", false);
  const std::string text = this->ReadAll(sink);
  EXPECT_NE(text.find("lines=7"), std::string::npos);
  EXPECT_TRUE(text.ends_with("next\n"));
}

TEST_F(LogSinkTest, ImportantLinesBypassRateLimit) {
  base::LogSink sink(this->clock, this->ends[1], {1, 1});
  sink.Write("a", false);
  sink.Write("b", true);
  EXPECT_EQ(this->ReadAll(sink),
            this->TimePrefix() + "a\n" + this->TimePrefix() + "b\n");
}

TEST_F(LogSinkTest, StalledReaderDoesNotBlockWriter) {
  base::LogSink sink(this->clock, this->ends[1], {1e9, 1e9});
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) sink.Write(line, true);
  EXPECT_GT(sink.Dropped(), 1000U);
}

TEST(LogLineTest, FormatPutsSentenceBeforeFields) {
  EXPECT_EQ(base::FormatLogLine(base::LogLevel::kInfo, "job",
                                "Job ended. job=1 cause=\"no room\""),
            "level=info part=job msg=\"Job ended.\" job=1 cause=\"no room\"");
  EXPECT_EQ(base::FormatLogLine(base::LogLevel::kError, "x", "No fields."),
            "level=error part=x msg=\"No fields.\"");
}

}  // namespace
}  // namespace hawthornwheel::testing
