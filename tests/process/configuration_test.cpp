// Tests of reading the configuration file and the environment variables.
#include "process/configuration.h"

#include "support/loopback.h"

namespace delivery {
namespace {

using namespace loopback;

constexpr const char* kVariables[] = {"GW_CONFIG", "GW_LISTEN", "GW_DISCOVERY",    "GW_CONTROL",
                                      "GW_STATE",  "TMPDIR",    "GW_PASSED_SOCKET"};

// Unsets the environment variables of the program during each test and restores them afterwards.
class ConfigurationTest : public testing::Test {
 public:
  ConfigurationTest() {
    for (const char* name : kVariables) {
      const char* value = std::getenv(name);
      if (value != nullptr) {
        saved_[name] = value;
      }
      ::unsetenv(name);
    }
  }
  ~ConfigurationTest() override {
    for (const char* name : kVariables) {
      ::unsetenv(name);
    }
    for (const auto& [name, value] : saved_) {
      ::setenv(name.c_str(), value.c_str(), 1);
    }
  }

 protected:
  void writeFile(const std::string& text) {
    const std::string path = folder_.path() + "/config.json";
    std::ofstream(path) << text;
    ::setenv("GW_CONFIG", path.c_str(), 1);
    ::setenv("GW_STATE", folder_.path().c_str(), 1);
  }

  static json minimalFile() { return {{"settings", testSettings()}}; }

  // The text of the error that reading the whole configuration causes; empty if it succeeds.
  static std::string configurationError() {
    try {
      ConfigurationFile::load().configuration();
      return "";
    } catch (const InvalidInput& invalid) {
      return invalid.what();
    }
  }

  const std::string& stateFolder() const { return folder_.path(); }

 private:
  TempFolder folder_;
  std::map<std::string, std::string> saved_;
};

TEST_F(ConfigurationTest, AMinimalFileGivesTheDefaults) {
  writeFile(minimalFile().dump());
  const Configuration configuration = ConfigurationFile::load().configuration();
  EXPECT_EQ("", configuration.listen);
  EXPECT_EQ("", configuration.discovery);
  EXPECT_EQ("", configuration.control);
  EXPECT_EQ(stateFolder(), configuration.state_folder);
  EXPECT_EQ(stateFolder(), configuration.scratch_folder);
  EXPECT_FALSE(configuration.passed_socket);
  EXPECT_EQ(0U, configuration.seed);
  EXPECT_EQ(3'000'000U, configuration.disk_bytes);
  EXPECT_EQ(1024, configuration.sockets);
  EXPECT_EQ(64'000'000, configuration.memory_bytes);
  EXPECT_FALSE(configuration.durable);
  EXPECT_EQ("", configuration.known_endpoints);
  EXPECT_EQ(3U, configuration.settings.classes.size());
}

// For the address of discovery the file takes precedence, as it may be newer than the environment. For the
// other addresses the environment takes precedence.
TEST_F(ConfigurationTest, PrecedenceOfFileAndEnvironment) {
  json file = minimalFile();
  file.update({{"listen", "a:1"}, {"discovery", "b:2"}, {"control", "c:3"}, {"seed", "8c1F"}});
  file["limits"] = {{"sockets", 200}, {"memory_mb", 1.5}, {"disk_mb", 0.25}};
  file["durable"] = true;
  file["known"] = json{{"index", 1}};
  writeFile(file.dump());
  ::setenv("GW_DISCOVERY", "e:5", 1);
  ::setenv("TMPDIR", "/scratch", 1);
  ::setenv("GW_PASSED_SOCKET", "5", 1);
  Configuration configuration = ConfigurationFile::load().configuration();
  EXPECT_EQ("a:1", configuration.listen);
  EXPECT_EQ("b:2", configuration.discovery);
  EXPECT_EQ("c:3", configuration.control);
  EXPECT_EQ("/scratch", configuration.scratch_folder);
  EXPECT_EQ(5, configuration.passed_socket);
  EXPECT_EQ(0x8c1FU, configuration.seed);
  EXPECT_EQ(250'000U, configuration.disk_bytes);
  EXPECT_EQ(200, configuration.sockets);
  EXPECT_EQ(1'500'000, configuration.memory_bytes);
  EXPECT_TRUE(configuration.durable);
  EXPECT_EQ(1, json::parse(configuration.known_endpoints).at("index"));
  ::setenv("GW_LISTEN", "d:4", 1);
  ::setenv("GW_CONTROL", "f:6", 1);
  configuration = ConfigurationFile::load().configuration();
  EXPECT_EQ("d:4", configuration.listen);
  EXPECT_EQ("f:6", configuration.control);
  file.erase("discovery");
  writeFile(file.dump());
  EXPECT_EQ("e:5", ConfigurationFile::load().discovery());
}

TEST_F(ConfigurationTest, LimitsAreClampedToARangeThatCannotOverflow) {
  writeFile(R"({"limits":{"sockets":-5,"memory_mb":1e300}})");
  const ConfigurationFile file = ConfigurationFile::load();
  EXPECT_EQ(0, file.sockets());
  EXPECT_EQ(1'000'000'000'000'000, file.memoryBytes());
}

TEST_F(ConfigurationTest, APassedSocketThatIsNoNumberIsIgnored) {
  writeFile(minimalFile().dump());
  for (const char* value : {"x", "-1", "1234567", "5 "}) {
    ::setenv("GW_PASSED_SOCKET", value, 1);
    EXPECT_FALSE(ConfigurationFile::load().configuration().passed_socket) << value;
  }
}

// Operators read these texts in the log.
TEST_F(ConfigurationTest, ErrorTextsNameTheInvalidFieldOrVariable) {
  EXPECT_EQ("GW_CONFIG is not set", configurationError());
  ::setenv("GW_CONFIG", "/nonexistent", 1);
  EXPECT_EQ("can't be read: /nonexistent", configurationError());
  const std::string path = stateFolder() + "/config.json";
  for (const char* text : {"", "{", "[1]"}) {
    writeFile(text);
    EXPECT_EQ("not a JSON object: " + path, configurationError()) << text;
  }
  writeFile("{}");
  EXPECT_EQ("missing field settings", configurationError());
  ::unsetenv("GW_STATE");
  EXPECT_EQ("GW_STATE is not set", configurationError());
  writeFile(R"({"listen":7})");
  EXPECT_EQ("not a text: listen", configurationError());
  for (const char* seed : {R"("")", R"("xyz")", R"("123456789abcdef01")"}) {
    writeFile(std::string(R"({"seed":)") + seed + "}");
    EXPECT_EQ("not a hexadecimal number: seed", configurationError()) << seed;
  }
  writeFile(R"({"seed":-1})");
  EXPECT_EQ("not a text: seed", configurationError());
  writeFile(R"({"limits":{"sockets":"many"}})");
  EXPECT_EQ("not a number: sockets", configurationError());
  writeFile(R"({"known":[]})");
  EXPECT_EQ("not an object: known", configurationError());
}

}  // namespace
}  // namespace delivery
