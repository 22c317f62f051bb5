export async function measureSlopes (_options: { seed: number, json: boolean }): Promise<void> {}
