/**
 * Defines the types of messages between entry hosts.
 *
 * @module
 */
/** Type of a message between entry hosts. */
export enum PeerMessageType {
  Hello = 'hello',
  Heartbeat = 'heartbeat',
  HeartbeatReply = 'heartbeat_reply',
  HostReport = 'host_report',
  FreedSlot = 'freed_slot',
  WaitingNotice = 'waiting_notice',
  FeedUpdate = 'feed_update',
  CrashUpdate = 'crash_update',
  ConfigurationDigest = 'configuration_digest',
  ConfigurationEntries = 'configuration_entries',
  SlotRequest = 'slot_request',
  SlotGrant = 'slot_grant',
  SlotRefusal = 'slot_refusal',
  SlotCancel = 'slot_cancel',
  SlotRelease = 'slot_release',
  AllowanceRequest = 'allowance_request',
  AllowanceLease = 'allowance_lease',
  ForwardCall = 'forward_call',
  ForwardHead = 'forward_head',
  ForwardChunk = 'forward_chunk',
  ForwardEnd = 'forward_end',
  ForwardError = 'forward_error',
  ForwardCredit = 'forward_credit',
  ForwardCancel = 'forward_cancel',
  ProxyRequest = 'proxy_request',
  ProxyReply = 'proxy_reply',
  ProxyCancel = 'proxy_cancel',
  ProxyResume = 'proxy_resume',
  ProxyResumed = 'proxy_resumed',
  ProxyProbe = 'proxy_probe',
  ProxyProbeReply = 'proxy_probe_reply',
  StreamOrigins = 'stream_origins',
  StreamQuery = 'stream_query',
  StreamReply = 'stream_reply',
}
