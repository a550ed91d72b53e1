import t from 'tap';
import { BackendFailure, PeerMessageType, ProxyEventKind, RateLimitKind } from '../../ports/mod.js';
import type { ProxyEvent } from '../../ports/mod.js';
import { parseMessage } from './_message_schema.js';

/** Events of an exchange through a peer, beside its head. */
const PROXY_EVENTS: readonly ProxyEvent[] = [
  { kind: ProxyEventKind.Notice, notice: { kind: RateLimitKind.None }, isAuthentic: true },
  {
    kind: ProxyEventKind.Notice,
    notice: { kind: RateLimitKind.Limited, requestsPerSecond: 1.5, declinesPerSecond: 4 },
    isAuthentic: false,
  },
  {
    kind: ProxyEventKind.Notice,
    notice: { kind: RateLimitKind.Invalid, text: 'x' },
    isAuthentic: true,
  },
  { kind: ProxyEventKind.Body, bytes: Uint8Array.of(3) },
  { kind: ProxyEventKind.Complete },
  {
    kind: ProxyEventKind.Failure,
    failure: BackendFailure.NotSent,
    reason: 'no room',
    isBusy: true,
  },
];

t.test('parseMessage() keeps every field of each event through a peer', async (t) => {
  PROXY_EVENTS.forEach((event) => {
    const reply = { type: PeerMessageType.ProxyReply, exchangeId: 4, index: 1, event };
    t.same(parseMessage(structuredClone(reply)), reply, event.kind);
  });
});
