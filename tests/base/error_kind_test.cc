#include "base/error_kind.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace hawthornwheel::base {
namespace {

TEST(ErrorKindTest, NamesAreUniqueAndMapToTheirKind) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < ErrorKindCount(); ++i) {
    const ErrorInfo& row = ErrorInfoAt(i);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
    EXPECT_EQ(FindErrorKind(row.name), row.kind);
    EXPECT_GE(row.http_status, 400);
    EXPECT_LT(row.http_status, 600);
    EXPECT_EQ(std::error_code(row.kind).message(), row.summary);
  }
  EXPECT_FALSE(FindErrorKind("no such kind"));
}

TEST(ErrorKindTest, KindsThatMayHaveRunAreNeverRetryable) {
  for (std::size_t i = 0; i < ErrorKindCount(); ++i) {
    const ErrorInfo& row = ErrorInfoAt(i);
    if (row.execution != ExecutionCertainty::kMayHaveRun) continue;
    EXPECT_EQ(row.retry, RetryAdvice::kNever) << row.name;
  }
}

}  // namespace
}  // namespace hawthornwheel::base
