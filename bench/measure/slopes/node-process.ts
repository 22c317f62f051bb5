import type { Slope } from './index.ts'
export async function nodeSlopes (_seed: number): Promise<Slope[]> { return [] }
