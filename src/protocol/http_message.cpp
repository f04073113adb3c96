#include "protocol/http_message.h"

#include <algorithm>

namespace delivery {

const std::string* HttpResponse::field(const std::string& lower_case_name) const {
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [&](const auto& field) { return field.first == lower_case_name; });
  return found == fields.end() ? nullptr : &found->second;
}

}  // namespace delivery
