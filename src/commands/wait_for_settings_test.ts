import t from 'tap';
import { FakeLog } from '../../test/support/fakes.js';
import { settle, VirtualClock } from '../../test/support/virtual_clock.js';
import { parseDirectSettings } from './direct_settings.js';
import type { DirectSettings } from './direct_settings.js';
import { SettingsError, UnreadableSettingsError } from './settings_error.js';
import { waitForSettings } from './wait_for_settings.js';

const SETTINGS = {} as DirectSettings;

function throwUnreadable(): never {
  throw new UnreadableSettingsError(['settings file: it is empty']);
}

// Guards against a host that ends because its settings file is being written.
t.test('waitForSettings() waits for a file that can be read', async (t) => {
  const clock = new VirtualClock();
  const log = new FakeLog();
  let isWritten = false;
  const read = (): DirectSettings => (isWritten ? SETTINGS : throwUnreadable());
  const settings = waitForSettings({ clock, log, read });
  await clock.advance(2_900);
  t.equal(log.list('settings_delayed').length, 3);
  isWritten = true;
  await clock.advance(100);
  t.equal(await settings, SETTINGS);
});

t.test('waitForSettings() gives a file up in the end', async (t) => {
  const clock = new VirtualClock();
  const settings = waitForSettings({ clock, log: new FakeLog(), read: throwUnreadable });
  const rejected = t.rejects(settings, UnreadableSettingsError);
  await clock.advance(60_000);
  await rejected;
});

t.test('waitForSettings() refuses invalid settings at once', async (t) => {
  const clock = new VirtualClock();
  const read = (): DirectSettings => parseDirectSettings('{}');
  const settings = waitForSettings({ clock, log: new FakeLog(), read });
  const rejected = t.rejects(settings, SettingsError);
  await settle();
  await rejected;
});
