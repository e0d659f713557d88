#include "base/excerpt.h"

#include <gtest/gtest.h>

#include <string>

namespace hawthornwheel::testing {
namespace {

TEST(ExcerptTest, PrintableTextIsUnchanged) {
  EXPECT_EQ(base::Excerpt("key 'a' is missing"), "key 'a' is missing");
}

TEST(ExcerptTest, OtherBytesAreEscaped) {
  EXPECT_EQ(base::Excerpt(std::string("a\0b\n\xff", 5)), "a\\x00b\\x0a\\xff");
}

TEST(ExcerptTest, LongTextIsCut) {
  EXPECT_EQ(base::Excerpt("abcdef", 4), "abcd...");
  EXPECT_EQ(base::Excerpt("abcd", 4), "abcd");
  // An escape is not cut in the middle.
  EXPECT_EQ(base::Excerpt(std::string("ab\0", 3), 4), "ab...");
}

}  // namespace
}  // namespace hawthornwheel::testing
