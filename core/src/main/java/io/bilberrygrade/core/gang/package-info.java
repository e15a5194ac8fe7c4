/** Plans gangs: groups of engines that together serve a prompt which exceeds the memory of each. */
package io.bilberrygrade.core.gang;
