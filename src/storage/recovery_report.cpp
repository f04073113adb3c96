#include "storage/recovery_report.h"

#include <cstring>

namespace delivery {
namespace {

class FieldList {
 public:
  void add(std::string_view name, std::string value) { fields_.push_back({name, std::move(value)}); }
  void addCount(std::string_view name, std::uint64_t count) { add(name, std::to_string(count)); }
  void addCountUnlessZero(std::string_view name, std::uint64_t count) {
    if (count > 0) {
      addCount(name, count);
    }
  }
  void addIfTrue(std::string_view name, bool value) {
    if (value) {
      add(name, "true");
    }
  }
  std::vector<RecoveryReport::Field> take() { return std::move(fields_); }

 private:
  std::vector<RecoveryReport::Field> fields_;
};

}  // namespace

std::vector<RecoveryReport::Field> RecoveryReport::fields() const {
  FieldList list;
  if (read_errno != 0) {
    list.add("read_error", std::strerror(read_errno));
  }
  list.addCount("records", records);
  list.addCount("bytes", bytes);
  list.addCount("damaged_ranges", damaged_ranges);
  list.addCountUnlessZero("gaps", gaps);
  list.addCountUnlessZero("unreadable_records", unreadable_records);
  list.addCountUnlessZero("contradictory_records", contradictory_records);
  list.addCountUnlessZero("abandoned_messages", abandoned_messages);
  list.addCountUnlessZero("duplicate_records", duplicate_records);
  list.addIfTrue("torn_write", torn_write);
  list.addIfTrue("power_cut", power_cut);
  if (quarantined) {
    list.add("quarantine_file", "journal.damaged");
  }
  list.addCountUnlessZero("unquarantined_bytes", unquarantined_bytes);
  return list.take();
}

}  // namespace delivery
