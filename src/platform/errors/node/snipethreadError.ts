/** Exceptions at the edges of the programs; inside, failures travel as `Either`. */
import ModernError from 'modern-errors';

import type { Failure } from '../common/errorKinds.js';

/** Root of the project's exceptions. */
export const BaseError = ModernError.subclass('BaseError');

/** Thrown for faults in settings; the message holds one line per fault. */
export const SettingsError = BaseError.subclass('SettingsError');

/** Thrown by clients of the HTTP interface, carrying the answered failure. */
export const AnsweredError = BaseError.subclass('AnsweredError', {
  props: { failure: undefined as Failure | undefined },
});
