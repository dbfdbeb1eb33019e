#include "mangoplank/settings/settings.h"

#include <gtest/gtest.h>

namespace mangoplank::settings {
namespace {

const std::vector<option> kOptions = {
    {"http", "listen", endpoint_option{"", true}, "address"},
    {"http", "max_body", integer_option{1024, 1, 4096, "bytes"}, "limit"},
    {"log", "level", choice_option{"info", {"debug", "info"}}, "level"},
    {"peers", "", endpoint_table_option{}, "members"},
};

core::outcome<values> ParseText(std::string_view text) {
  return core::Capture([&] { return Parse(kOptions, text, "a.ini"); });
}

core::invalid_setting ErrorOf(std::string_view text) {
  const auto parsed = ParseText(text);
  return parsed ? core::invalid_setting{}
                : std::get<core::invalid_setting>(parsed.error());
}

TEST(SettingsTest, ReadsValuesDefaultsAndTables) {
  const auto v = ParseText(
      "; comment\n[http]\nlisten = 127.0.0.1:80\n[peers]\na = 127.0.0.2:1\n");
  ASSERT_TRUE(v);
  EXPECT_EQ(v->Endpoint("http", "listen"), (core::endpoint{"127.0.0.1", 80}));
  EXPECT_EQ(v->Integer("http", "max_body"), 1024);
  EXPECT_EQ(v->Text("log", "level"), "info");
  EXPECT_EQ(v->Table("peers").at("a"), (core::endpoint{"127.0.0.2", 1}));
}

// Guards against an error message that does not locate the invalid line.
TEST(SettingsTest, ErrorHasFileLineKeyAndRange) {
  EXPECT_EQ(
      ErrorOf("[http]\nlisten = 127.0.0.1:80\nmax_body = 9999\n"),
      (core::invalid_setting{"a.ini", 3, "http.max_body",
                             "must be a whole number from 1 to 4096 bytes"}));
}

// Guards against a misspelt key that silently leaves the default in effect.
TEST(SettingsTest, RejectsUnknownAndMissingKeys) {
  EXPECT_EQ(ErrorOf("[http]\nlisten = 127.0.0.1:80\nmax_bdy = 1\n").reason,
            "unknown key");
  EXPECT_EQ(ErrorOf("[log]\nlevel = info\n").key, "http.listen");
}

TEST(SettingsTest, RejectsMalformedValues) {
  EXPECT_EQ(ErrorOf("[http]\nlisten = host:80\n").reason,
            "must be IP-ADDRESS:PORT");
  EXPECT_EQ(ErrorOf("[http]\nlisten = 127.0.0.1:80\nmax_body = 12kB\n").line,
            3);
  EXPECT_EQ(ErrorOf("[http]\nlisten = 127.0.0.1:80\n[log]\nlevel = x\n").reason,
            "must be one of: debug, info");
  EXPECT_EQ(ErrorOf("[http\n").line, 1);
  EXPECT_EQ(
      ErrorOf("[http]\nlisten = 127.0.0.1:80\nlisten = 127.0.0.1:81\n").line,
      3);
}

// Guards against an endpoint that names another address or port than its text.
TEST(SettingsTest, RejectsMalformedEndpoints) {
  const auto parse = [](std::string_view text) {
    return core::Capture([&] { return ParseEndpoint(text); });
  };
  EXPECT_TRUE(parse("10.0.0.9:65535"));
  EXPECT_TRUE(parse("[::1]:80"));
  for (const std::string_view text :
       {"", ":", "10.0.0.9", "10.0.0.9:", ":80", "10.0.0.9:65536",
        "10.0.0.9:-1", "10.0.0.9:+80", "10.0.0.9:99999999999", "10.0.0.9:80 ",
        "10.0.0.256:80", "host:80"}) {
    EXPECT_FALSE(parse(text)) << text;
  }
  EXPECT_FALSE(parse(std::string_view("10.0.0.9\0x:80", 14)));
}

}  // namespace
}  // namespace mangoplank::settings
