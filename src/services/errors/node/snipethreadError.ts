/** Exceptions at the boundaries of the programs; inside, failures are returned as `Either`. */
import ModernError from 'modern-errors';

/** The base class of the project's exceptions. Other thrown values are converted to it. */
export const BaseError = ModernError.subclass('BaseError');

/** Invalid settings; the message has one line for each fault. Nothing has been started. */
export const SettingsError = BaseError.subclass('SettingsError');

/** A program cannot start, for example because an address is in use; the cause is kept. */
export const StartError = BaseError.subclass('StartError');

/** A bug in the program. */
export const UnknownError = BaseError.subclass('UnknownError');
