/**
 * How long this process works without handing the processor back to its event loop, and on what:
 * `turns.run(TurnTask.StorePast, () => …)`.
 *
 * @module
 */
export { TurnMonitor } from './turn_monitor.js';
export type { TurnMonitorOptions } from './turn_monitor.js';
export { TurnTask } from './turn_task.js';
export type { TurnTaskName } from './turn_task.js';
