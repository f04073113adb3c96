// The fields that a recovery report adds to a log line.
#include "storage/recovery_report.h"

#include <gtest/gtest.h>

#include <cerrno>
#include <string>

namespace delivery {
namespace {

std::string fieldsOf(const RecoveryReport& report) {
  std::string text;
  for (const RecoveryReport::Field& field : report.fields()) {
    text += std::string(field.name) + "=" + field.value + ";";
  }
  return text;
}

TEST(RecoveryReport, StatesTheSizeOfAnIntactJournalAndNoDamage) {
  RecoveryReport report;
  report.records = 212;
  report.bytes = 40960;
  EXPECT_EQ("records=212;bytes=40960;damaged_ranges=0;", fieldsOf(report));
}

TEST(RecoveryReport, IncludesEveryFieldThatIsSet) {
  RecoveryReport report;
  report.records = 1;
  report.bytes = 2;
  report.read_errno = EIO;
  report.damaged_ranges = 3;
  report.gaps = 4;
  report.unreadable_records = 5;
  report.contradictory_records = 6;
  report.duplicate_records = 7;
  report.torn_write = true;
  report.power_cut = true;
  report.quarantined = true;
  report.unquarantined_bytes = 8;
  EXPECT_EQ(
      "read_error=Input/output error;records=1;bytes=2;damaged_ranges=3;gaps=4;unreadable_records=5;"
      "contradictory_records=6;duplicate_records=7;torn_write=true;power_cut=true;"
      "quarantine_file=journal.damaged;unquarantined_bytes=8;",
      fieldsOf(report));
}

}  // namespace
}  // namespace delivery
