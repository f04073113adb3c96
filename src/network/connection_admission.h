// The admission rules for all connections of this process, which share one budget of file descriptors.
#pragma once

#include "network/client_admission.h"
#include "network/control_admission.h"
#include "network/descriptor_budget.h"
#include "network/endpoint_connection_accounting.h"

namespace delivery {

struct ConnectionAdmission {
  explicit ConnectionAdmission(const DescriptorBudget& budget) : clients(budget), endpoints(budget) {}
  void setBudget(const DescriptorBudget& budget) {
    clients.setBudget(budget);
    endpoints.setBudget(budget);
  }

  ClientAdmission clients;
  ControlAdmission control;
  EndpointConnectionAccounting endpoints;
};

}  // namespace delivery
