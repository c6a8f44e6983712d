/** JSON values with one spelling for each, so that equal values have equal digests. */

export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue | undefined };

/** Serialises with sorted keys; members that are undefined are left out. */
export const canonicalJson = (value: unknown): string =>
  JSON.stringify(value, (_key, member: unknown) => {
    if (member === null || typeof member !== 'object' || Array.isArray(member)) return member;
    return Object.fromEntries(
      Object.entries(member).sort(([left], [right]) => (left < right ? -1 : 1)),
    );
  });
