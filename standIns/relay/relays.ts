/** Relays in front of every server that the daemons connect to, so that a test can silence them. */
import type { RandomSource } from '../../src/base/common/random.js';
import type { InstanceAddress } from '../../src/services/instanceList/common/instanceList.js';
import { Silence, SilentRelay } from './silentRelay.js';

/** The ratio of relays whose connections one fault silences. */
const SILENCED_RATIO = 0.4;

export class Relays {
  readonly #relays: SilentRelay[] = [];

  /** Starts a relay to an address and returns the address of the relay. */
  async relayTo({ host, port }: InstanceAddress): Promise<InstanceAddress> {
    const relay = new SilentRelay(port);
    this.#relays.push(relay);
    return { host, port: await relay.listen() };
  }

  /** Silences the open connections of some relays permanently. Returns their number. */
  silenceRandomRelays(random: RandomSource): number {
    const directions = Object.values(Silence);
    const direction = directions[random.nextIndex(directions.length)] ?? Silence.Both;
    const chosen = this.#relays.filter(() => random.nextFraction() < SILENCED_RATIO);
    return chosen.reduce((count, relay) => count + relay.silenceAll(direction), 0);
  }

  close(): void {
    this.#relays.forEach((relay) => relay.close());
  }
}
