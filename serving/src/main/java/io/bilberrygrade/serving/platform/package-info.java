/** Access to what the platform publishes: configuration and the list of instances. */
package io.bilberrygrade.serving.platform;
