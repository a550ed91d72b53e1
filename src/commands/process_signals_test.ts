import { EventEmitter } from 'node:events';
import t from 'tap';
import { isStopSignal, ProcessSignal, ProcessSignals } from './process_signals.js';

// Guards against a signal that is lost because it comes before its handler.
t.test('ProcessSignals keeps early signals for the handler', async (t) => {
  const source = new EventEmitter();
  const signals = new ProcessSignals(source);
  const handled: ProcessSignal[] = [];
  source.emit(ProcessSignal.Reload);
  source.emit(ProcessSignal.Reload);
  source.emit(ProcessSignal.Stop);
  signals.setHandler((signal) => handled.push(signal));
  t.same(handled, [ProcessSignal.Reload, ProcessSignal.Stop]);
  source.emit(ProcessSignal.Reload);
  t.same(handled.at(-1), ProcessSignal.Reload);
  t.equal(handled.length, 3);
});

// Guards against a host that a second signal to stop ends in the middle of its calls.
t.test('ProcessSignals handles each signal any number of times', async (t) => {
  const source = new EventEmitter();
  const handled: ProcessSignal[] = [];
  new ProcessSignals(source).setHandler((signal) => handled.push(signal));
  const signals = Object.values(ProcessSignal);
  [...signals, ...signals].forEach((signal) => source.emit(signal));
  t.same(handled, [...signals, ...signals]);
});

// Guards against hosts that end by a signal which doesn't ask them to, and with them all calls.
t.test('signals to entry hosts end them only if they mean so', async (t) => {
  const signals = Object.values(ProcessSignal);
  t.same(signals.filter(isStopSignal), ['SIGTERM', 'SIGINT', 'SIGQUIT']);
});
