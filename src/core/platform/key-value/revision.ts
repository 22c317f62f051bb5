/**
 * Revisions of a key-value service that may be restored from an older copy. Its
 * revisions then go back and are given out again, so each is combined with the
 * service's era, the number of restores. Revisions of a later era are larger.
 */

declare const brand: unique symbol

/** Era and revision as one number, so that they are always compared together. */
export type StoreRevision = number & { readonly [brand]: 'StoreRevision' }

/** At 100,000 writes a second, an era lasts more than a year; 2,048 eras fit into a safe integer. */
const revisionsPerEra = 2 ** 42

/** Combines a revision with the era in which the service gave it out. */
export function createRevision (era: number, revisionInEra: number): StoreRevision {
  return era * revisionsPerEra + revisionInEra as StoreRevision
}

/** The era of a revision; 0 for services without eras. */
export function eraOf (revision: number): number {
  return Math.floor(revision / revisionsPerEra)
}

/** The revision as the service itself counts it. */
export function revisionInEra (revision: number): number {
  return revision % revisionsPerEra
}

/** Whether a received value can be a revision. */
export function isRevision (value: unknown): value is number {
  return Number.isSafeInteger(value) && value as number >= 0
}
