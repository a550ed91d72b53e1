/**
 * Interfaces between the modules of the application, as abstract classes, so that each
 * module can be tested with small fakes of the others.
 *
 * @module
 */
export { ConfigurationView } from './configuration_view.js';
export type { ConfigurationStatus, RejectedDocument } from './configuration_view.js';
export { MembershipView } from './membership_view.js';
export { SlotSource } from './slot_source.js';
export type { Slot, SlotUse, SlotRequest } from './slot_source.js';
export { AllowanceSource } from './allowance_source.js';
export type { Admission } from './allowance_source.js';
export { RequestGateway } from './request_gateway.js';
export type {
  Assignment,
  CallerAddress,
  CallerAnswer,
  CallerCall,
  ReadOptions,
  RequestReport,
} from './request_gateway.js';
